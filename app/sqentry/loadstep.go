package sqentry

const (
	// firstStepRequests is the number of running requests at which the step
	// rises to 1.
	firstStepRequests = 16
	// maxLoadStep is the highest step: 2,048 running requests and more.
	maxLoadStep = 8
)

// loadStep is the entry's load as reported to other entries: 0 below
// firstStepRequests, and one more for each doubling from there. The list of
// entries is sent again whenever one of them changes, so the step falls only
// when the load drops below three quarters of the step's threshold. Only the watch
// loop accesses it.
type loadStep struct{ step uint32 }

// update returns the step for the given number of running requests.
func (l *loadStep) update(running int64) uint32 {
	for l.step < maxLoadStep && running >= stepThreshold(l.step+1) {
		l.step++
	}
	for l.step > 0 && running < stepThreshold(l.step)*3/4 {
		l.step--
	}
	return l.step
}

func stepThreshold(step uint32) int64 { return firstStepRequests << (step - 1) }
