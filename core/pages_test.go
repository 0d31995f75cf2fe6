package sqcore

import (
	"go/ast"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	testName = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	// testRun is a pattern of tests with the package that it is run in.
	testRun = regexp.MustCompile(`-run '?([^' ]+)'? (\./[\w/]+)`)
)

// TestProofsNameTestsThatExist wants every test that docs/PROOFS.md names, and at
// least one for every pattern and package that it tells to run: a renamed proof
// proves nothing under its old name.
func TestProofsNameTestsThatExist(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "docs", "PROOFS.md"))
	assert.NilError(t, err)
	page := strings.ReplaceAll(string(data), `\|`, "|")
	byFolder := map[string][]string{}
	known := map[string]bool{}
	for _, s := range sources(t, "core", "io", "platform", "app", "standin", "proof") {
		if !isTest(s.path) {
			continue
		}
		folder := strings.TrimPrefix(filepath.ToSlash(filepath.Dir(s.path)), "../")
		for _, d := range s.file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if ok && testName.MatchString(f.Name.Name) {
				byFolder[folder] = append(byFolder[folder], f.Name.Name)
				known[f.Name.Name] = true
			}
		}
	}
	var faults []string
	for _, name := range testName.FindAllString(page, -1) {
		if !known[name] {
			faults = append(faults, name+" does not exist")
		}
	}
	for _, run := range testRun.FindAllStringSubmatch(page, -1) {
		if !matchesAny(t, run[1], run[2], byFolder) {
			faults = append(faults, "-run "+run[1]+" "+run[2]+" matches no test")
		}
	}
	report(t, faults)
}

// matchesAny reports whether a pattern matches a test of the folder, which may be
// given from within one of the modules.
func matchesAny(t *testing.T, pattern, folder string, byFolder map[string][]string) bool {
	t.Helper()
	re, err := regexp.Compile(pattern)
	assert.NilError(t, err)
	folder = strings.TrimPrefix(folder, "./")
	for _, module := range []string{"", "core/", "proof/", "io/", "app/"} {
		for _, name := range byFolder[module+folder] {
			if re.MatchString(name) {
				return true
			}
		}
	}
	return false
}
