package sqplace

import "time"

// staleListReason is the reason of a refusal while the list of endpoints is too old.
const staleListReason = "the list of endpoints is too old to tell which are draining"

// listAge is how old the list of endpoints was when the lease holder last sent or confirmed
// it. A holder that is too busy to read the platform's list would otherwise let gateways
// send requests to endpoints that have long been listed as draining. What endpoints say of
// themselves in their responses does not help: not all of them say that they are about to
// stop. A gateway that has no contact with a holder goes on with a list that was recent
// then, until its freshness lease ends: callers are better served by endpoints that may be
// draining than by none.
type listAge struct {
	age, limit time.Duration
}

// ConfirmList records that the list of endpoints was the platform's that long ago when the
// lease holder sent or confirmed it.
func (p *Placer) ConfirmList(age time.Duration) { p.list.age = age }

// ListUsable reports whether the list of endpoints is recent enough to send requests by it.
func (p *Placer) ListUsable() bool { return p.list.usable() }

func (l *listAge) usable() bool { return l.limit == 0 || l.age <= l.limit }
