package sqconfig

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

func readFolder(t *testing.T, dir string) []File {
	t.Helper()
	var files []File
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		name, _ := filepath.Rel(dir, path)
		files = append(files, NewFile(filepath.ToSlash(name), data))
		return err
	})
	assert.NilError(t, err)
	return files
}

func formatErrors(errs []*sqerror.Error) string {
	var b strings.Builder
	for _, e := range errs {
		b.WriteString(e.Error() + "\n")
	}
	return b.String()
}

func TestCollectValid(t *testing.T) {
	cfg, errs := Collect(readFolder(t, filepath.Join("testdata", "good")))
	assert.Equal(t, formatErrors(errs), "")
	assert.Equal(t, cfg.GetDeployment(), "federation")
	assert.Equal(t, len(cfg.GetKeys()), 1)
	assert.Equal(t, cfg.GetTeams()[1].GetShare(), uint32(1))
	assert.Equal(t, cfg.GetModels()[0].GetWeightBytes(), uint64(14e9))
	assert.Equal(t, cfg.GetServices()[0].GetKind(), sqcommand.ServiceKind_SERVICE_KIND_ASSISTANT)
	assert.Equal(t, time.Duration(cfg.GetServices()[1].GetRetainCallsSeconds())*time.Second, 24*time.Hour)
}

// TestCollectReportsEveryError checks that one call reports the errors of all files,
// each with file, line, column and advice.
func TestCollectReportsEveryError(t *testing.T) {
	cfg, errs := Collect(readFolder(t, filepath.Join("testdata", "bad")))
	assert.Assert(t, cfg == nil)
	for _, e := range errs {
		assert.Equal(t, e.Kind(), sqerror.BadSetting)
		assert.Assert(t, e.Advice() != "", "%v", e)
	}
	golden.Assert(t, formatErrors(errs), "bad.golden")
	assert.Assert(t, !strings.Contains(formatErrors(errs), "the-key-itself"))
}

// TestErrorsAfterUndecodableValues checks that values that cannot be decoded don't
// hide the errors in or after them, and that no error is reported that only follows
// from another.
func TestErrorsAfterUndecodableValues(t *testing.T) {
	_, errs := Collect(readFolder(t, filepath.Join("testdata", "hidden")))
	golden.Assert(t, formatErrors(errs), "hidden.golden")
}

func TestMissingFiles(t *testing.T) {
	_, errs := Collect(nil)
	golden.Assert(t, formatErrors(errs), "missing.golden")
}

// FuzzCollect checks that the positions of errors lie inside the file and that a
// second call returns the same configuration.
func FuzzCollect(f *testing.F) {
	names := []string{DeploymentFile, TeamsFile, ModelsFile, ServiceFile}
	for kind, name := range names {
		for _, dir := range []string{"good", "bad"} {
			path := filepath.Join("testdata", dir, name)
			if name == ServiceFile {
				path = filepath.Join("testdata", dir, "booking", name)
			}
			data, err := os.ReadFile(path)
			assert.NilError(f, err)
			f.Add(kind, data)
		}
	}
	good := map[string][]byte{}
	for _, name := range []string{DeploymentFile, TeamsFile, ModelsFile, "booking/" + ServiceFile} {
		data, err := os.ReadFile(filepath.Join("testdata", "good", filepath.FromSlash(name)))
		assert.NilError(f, err)
		good[name] = data
	}
	f.Fuzz(func(t *testing.T, kind int, data []byte) {
		name := names[uint(kind)%uint(len(names))]
		var files []File
		for n, d := range good {
			if filepath.Base(n) == name {
				d = data
			}
			files = append(files, NewFile(n, d))
		}
		cfg, errs := Collect(files)
		lines := strings.Count(string(data), "\n") + 1
		for _, e := range errs {
			if filepath.Base(e.Position().File) == name {
				assert.Assert(t, e.Position().Line <= lines, "%v", e)
			}
		}
		again, _ := Collect(files)
		assert.Equal(t, protojson.Format(cfg), protojson.Format(again))
	})
}
