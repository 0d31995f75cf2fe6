package sqoperator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqplacement"
)

// TestPlace guards against a request that is described wrongly, keys in the output, and
// refusals that look like answers.
func TestPlace(t *testing.T) {
	var got sqplacement.Request
	var failure *sqplacement.Failure
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, json.NewDecoder(r.Body).Decode(&got))
		if failure != nil {
			w.WriteHeader(http.StatusTeapot)
			assert.Check(t, json.NewEncoder(w).Encode(failure))
			return
		}
		assert.Check(t, json.NewEncoder(w).Encode(sqplacement.Report{Gateway: "g1", Choice: sqplacement.Choice{Endpoint: "e1"}}))
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	line := "place " + address + " -host h -path /p -key -model m -parts a:10,own:5 -output 7 -deadline 1.5s -body 9"
	out := runCommand(t, exitOK, "secret-key\n", "", line)
	assert.DeepEqual(t, got, sqplacement.Request{Host: "h", Path: "/p", Key: "secret-key", Model: "m",
		Parts: []sqplacement.Part{{ID: "a", Tokens: 10}, {ID: "own", Tokens: 5}}, OutputTokens: 7, DeadlineMillis: 1500, BodyBytes: 9})
	assert.Assert(t, strings.Contains(out, "choice: e1") && !strings.Contains(out, "secret-key"), out)
	for kind, code := range map[sqerror.Kind]int{sqerror.UnknownRoute: exitRefused, sqerror.NoKey: exitRefused, sqerror.UnknownKey: exitRefused,
		sqerror.StaleEntry: exitUnreachable, sqerror.BadRequest: exitFailed} {
		failure = &sqplacement.Failure{Kind: uint32(kind), Detail: "why"}
		out := runCommand(t, code, "secret-key\n", "", line+" -json")
		assert.Assert(t, strings.Contains(out, kind.String()) && !strings.Contains(out, "secret-key"), out)
	}
	server.Close()
	runCommand(t, exitUnreachable, "", "", "place "+address+" -host h -path /p")
	runCommand(t, exitUsage, "", "", "place "+address+" -host h")
	runCommand(t, exitUsage, "", "", "place "+address+" -host h -path /p -parts a")
}
