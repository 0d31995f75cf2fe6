package sqcoordinator

import (
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqoffset"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqquorum"
	"sequoiadock/core/sqstate"
	"sequoiadock/core/sqwindow"
	"sequoiadock/io/sqclock"
)

// termBits is how many bits of a list's revision count the lists of one term.
const termBits = 24

// tenure is what the holder knows in one term. It begins empty: nothing that an
// earlier holder heard is carried over but what is in the log. The coordinator's
// mu guards it.
type tenure struct {
	term  uint64
	since time.Time
	// announced are the coordinators that were heard of, by identity.
	announced map[uint64]sqquorum.Candidate
	gateways  map[string]*gateway
	usage     *sqwindow.Collector
	clocks    *sqoffset.Estimator

	// fleet is the platform's list, nil before the first reading; revision names
	// it, and listedAt is when it was last read.
	fleet    []sqplace.Endpoint
	revision uint64
	listedAt time.Time
	// silent is set while the platform does not give its list.
	silent bool
	// refused is set once the platform has seen a newer lease for usage.
	refused bool
	orders  orderBook
	reads   readLog
}

func newTenure(now time.Time, term uint64, window time.Duration) *tenure {
	return &tenure{
		term: term, since: now, announced: map[uint64]sqquorum.Candidate{}, gateways: map[string]*gateway{},
		usage: sqwindow.NewCollector(now, window), clocks: sqoffset.New(), revision: term << termBits,
		orders: newOrderBook(), reads: newReadLog(term),
	}
}

// current returns the tenure of the lease held at now, or an error of kind
// NotHolder.
func (c *coordinator) current(now time.Time) (*tenure, error) {
	term, _, held := c.replica.Authority(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !held {
		if c.tenure != nil {
			c.log.Event(sqevent.HolderEnded, c.tenure.term)
			c.tenure = nil
		}
		return nil, c.notHolder()
	}
	if c.tenure == nil || c.tenure.term != term {
		c.tenure = newTenure(now, term, c.cfg.BillingWindow)
		c.log.Event(sqevent.HolderBegan, term)
	}
	return c.tenure, nil
}

func (c *coordinator) notHolder() error {
	leader := c.replica.Status().LeaderAddress()
	if leader == c.cfg.InternalAddress {
		// It leads but has no lease now, so it cannot say who has.
		leader = ""
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.NotHolder, Run: sqerror.NotRun, Detail: "this process does not hold the lease", Elsewhere: leader,
	})
}

// stillHolds returns an error of kind NotHolder if the tenure's lease ended. What
// was read of the state before the call was then not certain to be the newest.
func (c *coordinator) stillHolds(t *tenure) error {
	if term, _, held := c.replica.Authority(sqclock.Now()); !held || term != t.term {
		return c.notHolder()
	}
	return nil
}

// propose commits a command and returns its answer. The error is that of the
// commit, or that of the answer.
func (c *coordinator) propose(ctx context.Context, cmd *sqcommand.Command) (*sqcommand.Result, error) {
	cmd.AtUnixNano = sqclock.Wall().UnixNano()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	b, err := c.replica.Propose(ctx, sqstate.Encode(cmd))
	if err != nil {
		return nil, err
	}
	var res sqcommand.Result
	if err := proto.Unmarshal(b, &res); err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.OutcomeUnknown, Cause: err})
	}
	return &res, sqstate.ResultError(&res)
}

// lease returns what the platform is called under.
func (c *coordinator) lease(t *tenure) sqcore.Lease {
	return sqcore.Lease{Holder: c.cfg.Name, Term: t.term}
}

// firstTerm is the term of the first election after a group is founded.
const firstTerm = 2

// mayCall reports whether a duty towards the platform may be done: an earlier
// holder that comes back must not act between two calls of this one. The first
// holder of a new group has none before it.
func (c *coordinator) mayCall(now time.Time, t *tenure) bool {
	return t.term <= firstTerm || now.Sub(t.since) >= c.cfg.TakeoverDelay
}

// operatorsAt returns where the coordinator with the internal address answers
// operators: all use the same port.
func (c *coordinator) operatorsAt(internal string) string {
	host, _, err := net.SplitHostPort(internal)
	_, port, errPort := net.SplitHostPort(c.cfg.OperatorAddress)
	if err != nil || errPort != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}
