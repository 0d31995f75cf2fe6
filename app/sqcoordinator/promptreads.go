package sqcoordinator

import "sequoiadock/io/sqrpc"

const (
	// maxKeptPromptReads is how many prompt reads the lease holder keeps for gateways that
	// have not seen them, maxPromptReadsPerResponse how many it sends in one response.
	maxKeptPromptReads        = 4096
	maxPromptReadsPerResponse = 1024
)

// promptReadLog holds the prompt reads that gateways reported, numbered in order of
// arrival. A prompt read says that an engine has processed a shared beginning of
// prompts. The numbers start anew with each term.
type promptReadLog struct {
	// nextNumber is the number that the next read gets. The kept reads have the numbers
	// from firstNumber up to nextNumber, which is not included.
	nextNumber  uint64
	firstNumber uint64
	entries     []promptReadEntry
}

type promptReadEntry struct {
	read       *sqrpc.PromptRead
	reportedBy string
}

func newPromptReadLog(term uint64) promptReadLog {
	firstNumber := term << counterBits
	return promptReadLog{firstNumber: firstNumber, nextNumber: firstNumber}
}

// exchange sets the reads of the response to those of other gateways that the sender
// has not seen, and then records the reads of the request. If the sender's last number
// is not within the kept ones, such as a number of another term, all kept reads count as
// unseen. Of more than maxPromptReadsPerResponse unseen reads, only the newest are sent.
func (l *promptReadLog) exchange(req *sqrpc.BeatRequest, res *sqrpc.BeatResponse) {
	from := req.GetReadsSeen()
	if from < l.firstNumber || from > l.nextNumber {
		from = l.firstNumber
	}
	from = max(from, l.nextNumber-min(l.nextNumber-l.firstNumber, maxPromptReadsPerResponse))
	for _, entry := range l.entries[from-l.firstNumber:] {
		if entry.reportedBy != req.GetGateway() {
			res.Reads = append(res.Reads, entry.read)
		}
	}
	for _, r := range req.GetReads() {
		l.entries = append(l.entries, promptReadEntry{read: r, reportedBy: req.GetGateway()})
		l.nextNumber++
	}
	if excess := len(l.entries) - maxKeptPromptReads; excess > 0 {
		l.entries = append(l.entries[:0:0], l.entries[excess:]...)
		l.firstNumber += uint64(excess)
	}
	res.ReadsSeen = l.nextNumber
}
