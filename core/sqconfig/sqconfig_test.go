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

func folder(t *testing.T, dir string) []File {
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

func text(faults []*sqerror.Error) string {
	var b strings.Builder
	for _, f := range faults {
		b.WriteString(f.Error() + "\n")
	}
	return b.String()
}

func TestGood(t *testing.T) {
	cfg, faults := Collect(folder(t, filepath.Join("testdata", "good")))
	assert.Equal(t, text(faults), "")
	assert.Equal(t, cfg.GetDeployment(), "federation")
	assert.Equal(t, len(cfg.GetKeys()), 1)
	assert.Equal(t, cfg.GetTeams()[1].GetShare(), uint32(1))
	assert.Equal(t, cfg.GetModels()[0].GetWeightBytes(), uint64(14e9))
	assert.Equal(t, cfg.GetServices()[0].GetKind(), sqcommand.ServiceKind_SERVICE_KIND_ASSISTANT)
	assert.Equal(t, time.Duration(cfg.GetServices()[1].GetRetainCallsSeconds())*time.Second, 24*time.Hour)
}

// TestFaults wants every fault of every file in one go, with file, line,
// column and advice.
func TestFaults(t *testing.T) {
	cfg, faults := Collect(folder(t, filepath.Join("testdata", "bad")))
	assert.Assert(t, cfg == nil)
	for _, f := range faults {
		assert.Equal(t, f.Kind(), sqerror.BadSetting)
		assert.Assert(t, f.Advice() != "", "%v", f)
	}
	golden.Assert(t, text(faults), "bad.golden")
	assert.Assert(t, !strings.Contains(text(faults), "the-key-itself"))
}

// TestHiddenFaults wants the faults on and after what does not decode as well,
// and none that is only a consequence of another.
func TestHiddenFaults(t *testing.T) {
	_, faults := Collect(folder(t, filepath.Join("testdata", "hidden")))
	golden.Assert(t, text(faults), "hidden.golden")
}

func TestMissingFiles(t *testing.T) {
	_, faults := Collect(nil)
	golden.Assert(t, text(faults), "missing.golden")
}

// FuzzCollect wants each input either refused with places inside the file or
// accepted with the same result again.
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
		cfg, faults := Collect(files)
		lines := strings.Count(string(data), "\n") + 1
		for _, fault := range faults {
			if filepath.Base(fault.Position().File) == name {
				assert.Assert(t, fault.Position().Line <= lines, "%v", fault)
			}
		}
		again, _ := Collect(files)
		assert.Equal(t, protojson.Format(cfg), protojson.Format(again))
	})
}
