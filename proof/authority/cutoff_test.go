package authority

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
)

// TestEntryRestartedWhileCutOff withdraws an API key while an entry is down,
// pauses all control processes, and starts the entry. The entry must refuse every
// key, withdrawn or valid, until it has received an answer of the lease holder,
// and the withdrawn key for good.
func TestEntryRestartedWhileCutOff(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{EntryCount: 2})
	withdrawn, good := sqcluster.DefaultTeams()[0], sqcluster.DefaultTeams()[1]
	e := c.Entries()[0]
	assert.Equal(t, chatRefusal(t, e, withdrawn.Key()), "")
	e.Kill()
	_, err := c.CommandOutput(context.Background(), "", "key", "withdraw", withdrawn.KeyID())
	assert.NilError(t, err)
	for _, n := range c.Controls() {
		n.Pause()
	}
	assert.NilError(t, e.Start())
	eventually(t, c, "the entry listens, but is not healthy", func() bool {
		res, err := http.Get("http://" + e.InternalAddress() + "/healthz")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusServiceUnavailable
	})
	assert.Equal(t, chatRefusal(t, e, withdrawn.Key()), "staleEntry notRun")
	assert.Equal(t, chatRefusal(t, e, good.Key()), "staleEntry notRun")
	for _, n := range c.Controls() {
		n.Continue()
	}
	eventually(t, c, "the entry serves again", func() bool { return chatRefusal(t, e, good.Key()) == "" })
	assert.Equal(t, chatRefusal(t, e, withdrawn.Key()), "badKey notRun")
}

// chatRefusal sends one chat request to an entry and returns the kind and run
// fields of its refusal, separated by a space. It is empty if the entry served
// the request.
func chatRefusal(t *testing.T, e *sqcluster.Entry, key string) string {
	t.Helper()
	body := `{"model":"` + sqcluster.ModelName + `","messages":[{"role":"user","content":"hello"}],"max_tokens":2}`
	req, err := http.NewRequest(http.MethodPost, "http://"+e.CallerAddress()+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	var answer struct {
		Error struct {
			Kind string `json:"kind"`
			Run  string `json:"run"`
		} `json:"error"`
	}
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&answer))
	return strings.TrimSpace(answer.Error.Kind + " " + answer.Error.Run)
}
