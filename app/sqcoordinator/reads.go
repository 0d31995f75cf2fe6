package sqcoordinator

import "sequoiadock/io/sqrpc"

const (
	// keptReads is how many prompt reads the holder keeps for gateways that have
	// not heard of them, maxReadsTold how many it tells at once.
	keptReads    = 4096
	maxReadsTold = 1024
)

// readLog is the prompt reads that gateways reported, numbered in the order in
// which they came. Numbers begin anew with each term.
type readLog struct {
	// next is the number of the next read; those that are kept end before it.
	next    uint64
	first   uint64
	entries []loggedRead
}

type loggedRead struct {
	read    *sqrpc.PromptRead
	gateway string
}

func newReadLog(term uint64) readLog {
	start := term << termBits
	return readLog{first: start, next: start}
}

// exchange takes the reads of a request and tells those of other gateways that
// its sender has not heard of. A sender that heard of another term's gets all.
func (l *readLog) exchange(req *sqrpc.BeatRequest, res *sqrpc.BeatResponse) {
	since := req.GetReadsSeen()
	if since < l.first || since > l.next {
		since = l.first
	}
	since = max(since, l.next-min(l.next-l.first, maxReadsTold))
	for _, e := range l.entries[since-l.first:] {
		if e.gateway != req.GetGateway() {
			res.Reads = append(res.Reads, e.read)
		}
	}
	for _, r := range req.GetReads() {
		l.entries = append(l.entries, loggedRead{read: r, gateway: req.GetGateway()})
		l.next++
	}
	if over := len(l.entries) - keptReads; over > 0 {
		l.entries = append(l.entries[:0:0], l.entries[over:]...)
		l.first += uint64(over)
	}
	res.ReadsSeen = l.next
}
