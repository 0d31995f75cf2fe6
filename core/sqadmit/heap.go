package sqadmit

import "container/heap"

// requestHeap orders a flow's requests by priority, then those that can still
// meet StartBy before late ones, then by deadline and by arrival.
type requestHeap []*requestState

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (r *requestState) before(other *requestState) bool {
	a, b := &r.request.cfg, &other.request.cfg
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if r.late != other.late {
		return other.late
	}
	if !a.Deadline.Equal(b.Deadline) {
		return deadlineBefore(a.Deadline.UnixNano(), b.Deadline.UnixNano(), a.Deadline.IsZero(), b.Deadline.IsZero())
	}
	return r.sequence < other.sequence
}

// deadlineBefore reports whether deadline a is before b; a missing deadline is
// last.
func deadlineBefore(a, b int64, missingA, missingB bool) bool {
	if missingA || missingB {
		return !missingA
	}
	return a < b
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].flowIndex = i
	h[j].flowIndex = j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	r := x.(*requestState)
	r.flowIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	r.flowIndex = -1
	return r
}

// expiryHeap orders all queued requests by their next expiry check.
type expiryHeap []*requestState

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if !h[i].dueAt.Equal(h[j].dueAt) {
		return h[i].dueAt.Before(h[j].dueAt)
	}
	return h[i].sequence < h[j].sequence
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex = i
	h[j].expiryIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*requestState)
	r.expiryIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	r.expiryIndex = -1
	return r
}

// flowHeap orders a pool's active flows by start tag.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].team.cfg.Name < h[j].team.cfg.Name
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].poolIndex = i
	h[j].poolIndex = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	fl := x.(*flow)
	fl.poolIndex = len(*h)
	*h = append(*h, fl)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	fl := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	fl.poolIndex = -1
	return fl
}

var (
	_ heap.Interface = (*requestHeap)(nil)
	_ heap.Interface = (*expiryHeap)(nil)
	_ heap.Interface = (*flowHeap)(nil)
)
