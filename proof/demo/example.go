package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"sequoiadock/core/sqerror"
	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqfleet"
)

// example is a copy of a deployment in the examples folder.
type example struct {
	folder string
	fleet  sqfleet.Settings
	// team and key are those of the first line of demoKeys.txt.
	team string
	key  string
	// model is the assistant's model; call is the path of a plain service's route.
	model string
	call  string
}

// knownExamples maps the name of each example to its model and the path of a call.
var knownExamples = map[string]struct{ model, call string }{
	"federation":  {"parkgids", "/booking/places"},
	"association": {"catalogue", "/orders/parts"},
}

// replacements are the changes to the copied example. The test cluster requires
// its own deployment name, and the demo cannot wait an hour for the end of a
// billing window.
var replacements = []struct {
	file, with string
	old        *regexp.Regexp
}{
	{"deployment.toml", `deployment = "` + sqcluster.Deployment + `"`, regexp.MustCompile(`(?m)^deployment = .*$`)},
	{"deployment.toml", "billingWindowSeconds = 4", regexp.MustCompile(`(?m)^billingWindowSeconds = .*$`)},
}

// loadExample copies the declarations of an example to a folder, applies the
// replacements, and reads the example's fleet settings and first key.
func loadExample(from, to string) (*example, error) {
	known, ok := knownExamples[filepath.Base(from)]
	if !ok {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "no example " + filepath.Base(from), Advice: "choose federation or association"})
	}
	e := &example{folder: to, model: known.model, call: known.call}
	if err := os.CopyFS(to, declarationsFS{os.DirFS(from)}); err != nil {
		return nil, newFailure("copy the example", err)
	}
	for _, r := range replacements {
		if err := replaceInFile(filepath.Join(to, r.file), r.old, r.with); err != nil {
			return nil, err
		}
	}
	var err error
	if e.fleet, err = sqfleet.Load(filepath.Join(from, "fleet.toml")); err != nil {
		return nil, newFailure("read fleet.toml", err)
	}
	keys, err := os.ReadFile(filepath.Join(from, "demoKeys.txt"))
	if err != nil {
		return nil, newFailure("read the demo keys", err)
	}
	line, _, _ := strings.Cut(string(keys), "\n")
	e.team, e.key, _ = strings.Cut(line, " ")
	return e, nil
}

// declarationsFS hides the folder with the example's process settings, whose
// addresses belong to other VMs.
type declarationsFS struct{ fs.FS }

// ReadDir implements fs.ReadDirFS.
func (d declarationsFS) ReadDir(name string) ([]fs.DirEntry, error) {
	all, err := fs.ReadDir(d.FS, name)
	var kept []fs.DirEntry
	for _, e := range all {
		if e.Name() != "settings" {
			kept = append(kept, e)
		}
	}
	return kept, err
}

// replaceInFile replaces every match of old in a file. No match is an error.
func replaceInFile(path string, old *regexp.Regexp, with string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return newFailure("read the example", err)
	}
	if !old.Match(data) {
		return sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: old.String() + " in " + path})
	}
	if err := os.WriteFile(path, old.ReplaceAll(data, []byte(with)), 0o600); err != nil {
		return newFailure("write the example", err)
	}
	return nil
}

func newFailure(what string, cause error) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.OutputFailed, Detail: what, Cause: cause})
}
