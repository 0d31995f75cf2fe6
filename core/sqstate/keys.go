package sqstate

import (
	"bytes"
	"sort"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// keyTable holds the keys that commands granted or withdrew, as opposed to the
// keys in the published configuration files.
type keyTable struct {
	// revision increases with every change to the set of valid keys.
	revision uint64
	// granted maps key IDs to the keys granted by command.
	granted map[string]*sqcommand.Key
	// withdrawn maps the IDs of withdrawn keys to their SHA-256 hashes. Entries
	// are never removed, so that republishing an older file cannot restore a
	// withdrawn key.
	withdrawn map[string][]byte
}

func newKeyTable() keyTable {
	return keyTable{granted: make(map[string]*sqcommand.Key), withdrawn: make(map[string][]byte)}
}

// isWithdrawn reports whether the key was withdrawn, under its own ID or, with
// the same hash, under another ID.
func (t *keyTable) isWithdrawn(k *sqcommand.Key) bool {
	if _, ok := t.withdrawn[k.GetId()]; ok {
		return true
	}
	for _, hash := range t.withdrawn {
		if bytes.Equal(hash, k.GetSha256()) {
			return true
		}
	}
	return false
}

// KeyRevision returns the revision of the set that Keys returns. It increases
// with every change to that set.
func (s *State) KeyRevision() uint64 { return s.keys.revision }

// Keys returns all valid keys, sorted by ID.
func (s *State) Keys() []*sqcommand.Key {
	var all []*sqcommand.Key
	for _, k := range s.configuration.GetKeys() {
		if s.keys.granted[k.GetId()] == nil && !s.keys.isWithdrawn(k) {
			all = append(all, k)
		}
	}
	for _, k := range s.keys.granted {
		all = append(all, k)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetId() < all[j].GetId() })
	return all
}

func (s *State) findKey(id string) *sqcommand.Key {
	if k := s.keys.granted[id]; k != nil {
		return k
	}
	for _, k := range s.configuration.GetKeys() {
		if k.GetId() == id {
			return k
		}
	}
	return nil
}

func (s *State) grantKey(k *sqcommand.Key) *sqcommand.Result {
	if s.keys.isWithdrawn(k) {
		return errorResult(sqerror.KeyWithdrawn, "key "+k.GetId()+" was withdrawn; grant a new key under a new identity")
	}
	if !s.hasTeam(s.configuration, k.GetTeam()) {
		return errorResult(sqerror.NotFound, "team "+k.GetTeam()+" is not declared")
	}
	if existing := s.findKey(k.GetId()); existing != nil && !proto.Equal(existing, k) {
		return errorResult(sqerror.Conflict, "key "+k.GetId()+" exists with another team or hash")
	}
	s.keys.granted[k.GetId()] = proto.CloneOf(k)
	s.keys.revision++
	return &sqcommand.Result{Version: s.configVersion}
}

func (s *State) withdrawKey(id string) *sqcommand.Result {
	if _, ok := s.keys.withdrawn[id]; ok {
		return &sqcommand.Result{Version: s.configVersion}
	}
	k := s.findKey(id)
	if k == nil {
		return errorResult(sqerror.UnknownKey, "no key "+id)
	}
	s.keys.withdrawn[id] = bytes.Clone(k.GetSha256())
	delete(s.keys.granted, id)
	s.keys.revision++
	return &sqcommand.Result{Version: s.configVersion}
}

func (s *State) hasTeam(cfg *sqcommand.Configuration, name string) bool {
	for _, t := range cfg.GetTeams() {
		if t.GetName() == name {
			return true
		}
	}
	return false
}
