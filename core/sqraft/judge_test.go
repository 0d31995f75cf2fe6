package sqraft

import "testing"

// judgeRuns bounds the schedules in which the judge must find a fault that was
// put in.
const judgeRuns = 8000

// catches expects that the model's judge finds a fault in one of judgeRuns.
func catches(t *testing.T, change func(w *world)) {
	t.Helper()
	catchesWith(t, modelTiming, change)
}

func catchesWith(t *testing.T, timing Timing, change func(w *world)) {
	t.Helper()
	for i := range uint64(judgeRuns) {
		w := newWorldWith(timing, newSeeded(i), 3+2*int(i%2))
		change(w)
		if broken := w.run(stepsPerRun); broken != "" {
			t.Logf("found in run %d: %s", i, broken)
			return
		}
	}
	t.Fatalf("the judge missed the fault in %d runs", judgeRuns)
}

func TestJudgeCatchesMissingSync(t *testing.T) {
	catches(t, func(w *world) { w.noSync = true })
}

func TestJudgeCatchesOldIdentity(t *testing.T) {
	catches(t, func(w *world) { w.keepID = true })
}
