package sqstate

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
)

// maxQuarantinedTraits is how many quarantined traits are kept. Of more, those whose term
// ends first are dropped.
const maxQuarantinedTraits = 256

// QuarantinedTraits returns copies of the traits of requests that are or were quarantined,
// sorted by the end of their terms.
func (s *State) QuarantinedTraits() []*sqcommand.QuarantinedTrait {
	list := make([]*sqcommand.QuarantinedTrait, 0, len(s.quarantined))
	for _, p := range s.quarantined {
		list = append(list, proto.CloneOf(p))
	}
	return list
}

// setQuarantine replaces the record of a trait, or removes it.
func (s *State) setQuarantine(q *sqcommand.SetQuarantine) *sqcommand.Result {
	trait := q.GetTrait()
	s.quarantined = slices.DeleteFunc(s.quarantined, func(p *sqcommand.QuarantinedTrait) bool {
		return p.GetKind() == trait.GetKind() && p.GetService() == trait.GetService() && p.GetId() == trait.GetId()
	})
	if !q.GetRemove() {
		s.quarantined = append(s.quarantined, proto.CloneOf(trait))
		slices.SortStableFunc(s.quarantined, func(a, b *sqcommand.QuarantinedTrait) int {
			return int(min(max(a.GetUntilUnixNano()-b.GetUntilUnixNano(), -1), 1))
		})
		s.quarantined = s.quarantined[max(0, len(s.quarantined)-maxQuarantinedTraits):]
	}
	return &sqcommand.Result{Version: s.tableVersion}
}
