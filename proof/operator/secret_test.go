package operator

import (
	"bytes"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
)

// TestNoSecrets sends valid, unknown and malformed keys and then searches
// everything that the processes wrote or returned for them: logs, data folders,
// the stand-ins' record, metrics, refusals, decisions and the output of the
// operators' commands.
func TestNoSecrets(t *testing.T) {
	b := start(t, sqcluster.Config{ControlCount: 1, EntryCount: 1})
	const unknownKey = "unknown-secret-key-0123456789"
	const grantedKey = "granted-secret-key-0123456789"
	validKey := sqcluster.DefaultTeams()[0].Key()
	secrets := []string{validKey, unknownKey, grantedKey, "malformed secret key"}
	var output bytes.Buffer
	for _, headers := range [][]string{
		{"Bearer " + validKey}, {"Bearer " + unknownKey}, {"Basic " + validKey}, {validKey}, {"Bearer malformed secret key"},
		{"Bearer " + validKey, "Bearer " + unknownKey}, {"Bearer " + validKey + ", Bearer " + unknownKey}, {"bearer " + unknownKey},
	} {
		for _, path := range []string{"/v1/chat/completions", "/booking/places", "/meetups/list", "/nowhere", "/v1/chat/completions?key=x"} {
			decision := b.sendAuthorization(&output, path, headers)
			if decision != "" {
				result := b.cluster.RunCommand(b.ctx, "", "explain", decision)
				output.WriteString(result.Stdout() + result.Stderr())
			}
		}
	}
	result := b.cluster.RunCommand(b.ctx, grantedKey, "key", "grant", "-id", "extra", "-team", sqcluster.DefaultTeams()[0].Name())
	assert.Equal(t, result.ExitCode(), exitOK, result.Stderr())
	output.WriteString(result.Stdout() + result.Stderr())
	result = b.cluster.RunCommand(b.ctx, "malformed secret key", "key", "grant", "-id", "extra2", "-team", sqcluster.DefaultTeams()[0].Name())
	assert.Assert(t, result.ExitCode() != exitOK)
	output.WriteString(result.Stdout() + result.Stderr())
	for _, commandLine := range []string{"status", "status -json", "report usage", "report burn"} {
		output.WriteString(b.expect(exitOK, commandLine))
	}
	b.get(&output, b.cluster.Entries()[0].InternalAddress()+"/metrics")
	b.get(&output, b.cluster.Controls()[0].DirectAddress()+"/metrics")
	assert.Assert(t, strings.Contains(output.String(), "badKey"), "the collected output has no refusal of a bad key")
	b.copyFiles(&output)
	for _, s := range secrets {
		assert.Assert(t, !bytes.Contains(output.Bytes(), []byte(s)), "%q was written", s)
	}
}

// sendAuthorization sends one request with the Authorization headers, copies the
// response body to w and returns the ID of the decision, if there is one.
func (b *testbed) sendAuthorization(w io.Writer, path string, headers []string) string {
	b.Helper()
	req, err := http.NewRequestWithContext(b.ctx, http.MethodPost, "http://"+b.cluster.Entries()[0].CallerAddress()+path, strings.NewReader(chatRequest))
	assert.NilError(b, err)
	req.Header["Authorization"] = headers
	req.Header.Set("Idempotency-Key", "call-"+path)
	res, err := b.client.Do(req)
	assert.NilError(b, err)
	defer res.Body.Close()
	_, err = io.Copy(w, res.Body)
	assert.NilError(b, err)
	return res.Header.Get("Sequoiadock-Decision")
}

// get copies the response body of a GET request to w.
func (b *testbed) get(w io.Writer, address string) {
	b.Helper()
	res, err := b.client.Get("http://" + address)
	assert.NilError(b, err)
	defer res.Body.Close()
	assert.Equal(b, res.StatusCode, http.StatusOK)
	_, err = io.Copy(w, res.Body)
	assert.NilError(b, err)
}

// copyFiles copies the content of every file in the deployment's folder to w.
func (b *testbed) copyFiles(w io.Writer) {
	b.Helper()
	files := 0
	err := filepath.WalkDir(b.cluster.Folder(), func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		files++
		_, err = w.Write(data)
		return err
	})
	assert.NilError(b, err)
	assert.Assert(b, files > 10, "only %d files", files)
}
