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

// TestNoSecrets sends keys in every right and wrong way and then searches all
// that the processes wrote or answered: logs, data folders, the stand-ins'
// record, metrics, refusals, decisions and the operators' output.
func TestNoSecrets(t *testing.T) {
	b := start(t, sqcluster.Config{ControlCount: 1, EntryCount: 1})
	const unknown = "unknown-secret-key-0123456789"
	const granted = "granted-secret-key-0123456789"
	good := sqcluster.DefaultTeams()[0].Key()
	secrets := []string{good, unknown, granted, "malformed secret key"}
	var written bytes.Buffer
	for _, headers := range [][]string{
		{"Bearer " + good}, {"Bearer " + unknown}, {"Basic " + good}, {good}, {"Bearer malformed secret key"},
		{"Bearer " + good, "Bearer " + unknown}, {"Bearer " + good + ", Bearer " + unknown}, {"bearer " + unknown},
	} {
		for _, path := range []string{"/v1/chat/completions", "/booking/places", "/meetups/list", "/nowhere", "/v1/chat/completions?key=x"} {
			decision := b.sendKeys(&written, path, headers)
			if decision != "" {
				o := b.cluster.RunCommand(b.ctx, "", "explain", decision)
				written.WriteString(o.Stdout() + o.Stderr())
			}
		}
	}
	o := b.cluster.RunCommand(b.ctx, granted, "key", "grant", "-id", "extra", "-team", sqcluster.DefaultTeams()[0].Name())
	assert.Equal(t, o.ExitCode(), exitOK, o.Stderr())
	written.WriteString(o.Stdout() + o.Stderr())
	o = b.cluster.RunCommand(b.ctx, "malformed secret key", "key", "grant", "-id", "extra2", "-team", sqcluster.DefaultTeams()[0].Name())
	assert.Assert(t, o.ExitCode() != exitOK)
	written.WriteString(o.Stdout() + o.Stderr())
	for _, line := range []string{"status", "status -json", "report usage", "report burn"} {
		written.WriteString(b.expect(exitOK, line))
	}
	b.get(&written, b.cluster.Entries()[0].InternalAddress()+"/metrics")
	b.get(&written, b.cluster.Controls()[0].DirectAddress()+"/metrics")
	assert.Assert(t, strings.Contains(written.String(), "badKey"), "the search would find nothing anyway")
	b.readFolder(&written)
	for _, s := range secrets {
		assert.Assert(t, !bytes.Contains(written.Bytes(), []byte(s)), "%q was written", s)
	}
}

// sendKeys makes one request with Authorization headers and keeps the answer.
func (b *bench) sendKeys(w io.Writer, path string, headers []string) string {
	b.Helper()
	req, err := http.NewRequestWithContext(b.ctx, http.MethodPost, "http://"+b.cluster.Entries()[0].CallerAddress()+path, strings.NewReader(question))
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

func (b *bench) get(w io.Writer, address string) {
	b.Helper()
	res, err := b.client.Get("http://" + address)
	assert.NilError(b, err)
	defer res.Body.Close()
	assert.Equal(b, res.StatusCode, http.StatusOK)
	_, err = io.Copy(w, res.Body)
	assert.NilError(b, err)
}

// readFolder adds every file of the deployment.
func (b *bench) readFolder(w io.Writer) {
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
