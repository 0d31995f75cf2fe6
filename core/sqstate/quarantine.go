package sqstate

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
)

// maxQuarantinedParts is how many quarantined parts are kept. Of more, those whose term
// ends first are dropped.
const maxQuarantinedParts = 64

// QuarantinedParts returns copies of the parts of prompts that are or were quarantined,
// sorted by the end of their terms.
func (s *State) QuarantinedParts() []*sqcommand.QuarantinedPart {
	list := make([]*sqcommand.QuarantinedPart, 0, len(s.quarantined))
	for _, p := range s.quarantined {
		list = append(list, proto.CloneOf(p))
	}
	return list
}

// setQuarantine replaces the record of a part, or removes it.
func (s *State) setQuarantine(q *sqcommand.SetQuarantine) *sqcommand.Result {
	part := q.GetPart()
	s.quarantined = slices.DeleteFunc(s.quarantined, func(p *sqcommand.QuarantinedPart) bool {
		return p.GetService() == part.GetService() && p.GetId() == part.GetId()
	})
	if !q.GetRemove() {
		s.quarantined = append(s.quarantined, proto.CloneOf(part))
		slices.SortStableFunc(s.quarantined, func(a, b *sqcommand.QuarantinedPart) int {
			return int(min(max(a.GetUntilUnixNano()-b.GetUntilUnixNano(), -1), 1))
		})
		s.quarantined = s.quarantined[max(0, len(s.quarantined)-maxQuarantinedParts):]
	}
	return &sqcommand.Result{Version: s.tableVersion}
}
