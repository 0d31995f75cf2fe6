package sqentry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnreadRecordMayHaveRun sends a call with an identity to an entry that has
// no configuration yet or is overloaded. The entry has not read the call's
// record, so it must not report the call as not run.
func TestUnreadRecordMayHaveRun(t *testing.T) {
	cfg := Config{Deployment: "test", Name: "entry1", Zone: "a", ControlAddresses: []string{"127.0.0.1:1"}}
	cfg.setDefaults()
	busy := cfg
	busy.Limits.MaxRunning = -1
	expect := func(cfg Config, identity, want string) {
		t.Helper()
		req := httptest.NewRequest(http.MethodPost, "/booking/places", strings.NewReader("{}"))
		if identity != "" {
			req.Header.Set("Idempotency-Key", identity)
		}
		w := httptest.NewRecorder()
		newEntry(t.Context(), cfg).callersHandler().ServeHTTP(w, req)
		assert.Equal(t, w.Code, 503)
		assert.Assert(t, strings.Contains(w.Body.String(), `"run":"`+want+`"`), w.Body.String())
	}
	expect(cfg, "", "notRun")
	expect(cfg, "call-1", "mayHaveRun")
	expect(busy, "", "notRun")
	expect(busy, "call-1", "mayHaveRun")
}
