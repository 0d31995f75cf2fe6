package sqstate

import (
	"sort"
	"strconv"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// publish replaces the configuration if the publisher based its change on the
// current version and the files do not contradict a command.
func (s *State) publish(atUnixNano int64, p *sqcommand.Publish) *sqcommand.Result {
	if p.GetBaseVersion() != s.configVersion {
		res := errorResult(sqerror.Conflict, "based on version "+strconv.FormatUint(p.GetBaseVersion(), 10)+
			", but version "+strconv.FormatUint(s.configVersion, 10)+" is in force")
		res.Version = s.configVersion
		return res
	}
	cfg := p.GetConfiguration()
	if res := s.checkKeyConflicts(cfg); res != nil {
		return res
	}
	s.configuration = proto.CloneOf(cfg)
	s.configVersion++
	s.keys.revision++
	if s.usage.openStart == 0 {
		s.usage.openStart = atUnixNano
	}
	return &sqcommand.Result{Version: s.configVersion}
}

// checkKeyConflicts rejects a configuration that contains a withdrawn key,
// contradicts a key granted by command, or drops a team that holds such a key.
// Ignoring the conflict would leave the operator with files that differ from
// the running system.
func (s *State) checkKeyConflicts(cfg *sqcommand.Configuration) *sqcommand.Result {
	for _, k := range cfg.GetKeys() {
		if s.keys.isWithdrawn(k) {
			return errorResult(sqerror.KeyWithdrawn, "the files grant key "+k.GetId()+", which was withdrawn; remove it from the files")
		}
		granted := s.keys.granted[k.GetId()]
		if granted != nil && !proto.Equal(granted, k) {
			return errorResult(sqerror.Conflict, "key "+k.GetId()+" was granted by command with another team or hash; make the files agree")
		}
	}
	for _, id := range sortedKeys(s.keys.granted) {
		team := s.keys.granted[id].GetTeam()
		if !s.hasTeam(cfg, team) {
			return errorResult(sqerror.Conflict, "the files drop team "+team+", but key "+id+" was granted to it by command; withdraw the key first")
		}
	}
	return nil
}

func sortedKeys(m map[string]*sqcommand.Key) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
