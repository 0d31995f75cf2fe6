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
	testFuncName = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	// runCommand matches a -run pattern and the package in which it is run.
	runCommand = regexp.MustCompile(`-run '?([^' ]+)'? (\./[\w/]+)`)
)

// TestProofsPageNamesExistingTests checks that every test named in docs/PROOFS.md
// exists, and that every -run pattern on the page matches at least one test of its
// package. Otherwise the page would refer to a renamed test by its old name, under
// which no test runs.
func TestProofsPageNamesExistingTests(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "docs", "PROOFS.md"))
	assert.NilError(t, err)
	page := strings.ReplaceAll(string(data), `\|`, "|")
	byFolder := map[string][]string{}
	testNames := map[string]bool{}
	for _, s := range sources(t, "core", "io", "platform", "app", "standin", "proof") {
		if !isTest(s.path) {
			continue
		}
		folder := strings.TrimPrefix(filepath.ToSlash(filepath.Dir(s.path)), "../")
		for _, d := range s.file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if ok && testFuncName.MatchString(f.Name.Name) {
				byFolder[folder] = append(byFolder[folder], f.Name.Name)
				testNames[f.Name.Name] = true
			}
		}
	}
	var faults []string
	for _, name := range testFuncName.FindAllString(page, -1) {
		if !testNames[name] {
			faults = append(faults, name+" does not exist")
		}
	}
	for _, run := range runCommand.FindAllStringSubmatch(page, -1) {
		if !matchesAny(t, run[1], run[2], byFolder) {
			faults = append(faults, "-run "+run[1]+" "+run[2]+" matches no test")
		}
	}
	report(t, faults)
}

// matchesAny reports whether pattern matches a test of the folder. The folder may be
// relative to the root of the repository or to one of the modules.
func matchesAny(t *testing.T, pattern, folder string, byFolder map[string][]string) bool {
	t.Helper()
	patternRegexp, err := regexp.Compile(pattern)
	assert.NilError(t, err)
	folder = strings.TrimPrefix(folder, "./")
	for _, module := range []string{"", "core/", "proof/", "io/", "app/"} {
		for _, name := range byFolder[module+folder] {
			if patternRegexp.MatchString(name) {
				return true
			}
		}
	}
	return false
}
