package sqcore

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// maxLines is the maximum number of lines of a source file.
const maxLines = 400

// source is one parsed Go file that is not generated.
type source struct {
	path string
	data []byte
	file *ast.File
}

// sources returns all Go files of the modules that are not generated.
func sources(t *testing.T, modules ...string) []source {
	t.Helper()
	var all []source
	for _, m := range modules {
		err := filepath.WalkDir(filepath.Join("..", m), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			data, err := os.ReadFile(path)
			if err != nil || bytes.HasPrefix(data, []byte("// Code generated")) {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, data, parser.ParseComments)
			all = append(all, source{path: filepath.ToSlash(path), data: data, file: file})
			return err
		})
		assert.NilError(t, err)
	}
	return all
}

func isTest(path string) bool { return strings.HasSuffix(path, "_test.go") }

// report fails the test with a list of all faults, if there are any.
func report(t *testing.T, faults []string) {
	t.Helper()
	assert.Equal(t, strings.Join(faults, "\n"), "")
}

func TestFileLength(t *testing.T) {
	var faults []string
	for _, s := range sources(t, "core", "io", "platform", "app", "standin", "proof") {
		if n := bytes.Count(s.data, []byte{'\n'}); n > maxLines {
			faults = append(faults, s.path+" has "+strconv.Itoa(n)+" lines; split it")
		}
	}
	report(t, faults)
}

func TestNoTypeParameters(t *testing.T) {
	var faults []string
	for _, s := range sources(t, "core", "io", "platform", "app", "standin", "proof") {
		ast.Inspect(s.file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncType:
				if n.TypeParams != nil {
					faults = append(faults, s.path+": a function has type parameters")
				}
			case *ast.TypeSpec:
				if n.TypeParams != nil {
					faults = append(faults, s.path+": type "+n.Name.Name+" has type parameters")
				}
			}
			return true
		})
	}
	report(t, faults)
}

// clockCalls are the functions of package time that read the clock or wait.
var clockCalls = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}

// goroutinesAndClockCalls returns a fault for each goroutine that the file starts and each
// call of clockCalls.
func goroutinesAndClockCalls(s source) []string {
	var faults []string
	ast.Inspect(s.file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			faults = append(faults, s.path+" starts a goroutine")
		case *ast.SelectorExpr:
			x, ok := n.X.(*ast.Ident)
			if ok && x.Name == "time" && slices.Contains(clockCalls, n.Sel.Name) {
				faults = append(faults, s.path+" calls time."+n.Sel.Name)
			}
		}
		return true
	})
	return faults
}

// ioPackages are the packages that core must not import because they do I/O, wait or
// share state between goroutines.
var ioPackages = []string{"os", "net", "net/http", "io/fs", "sync", "sync/atomic", "syscall", "os/exec", "os/signal", "math/rand"}

// TestCoreHasNoClockOrIO checks that core reads no clock, starts no goroutine and does
// no I/O.
func TestCoreHasNoClockOrIO(t *testing.T) {
	var faults []string
	for _, s := range sources(t, "core") {
		if isTest(s.path) {
			continue
		}
		for _, i := range s.file.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			assert.NilError(t, err)
			if slices.Contains(ioPackages, name) {
				faults = append(faults, s.path+" imports "+name)
			}
		}
		faults = append(faults, goroutinesAndClockCalls(s)...)
	}
	report(t, faults)
}

var metricName = regexp.MustCompile(`sequoiadock_[a-z_]+[a-z]`)

// TestMetricsPageMatchesCode checks that docs/METRICS.md and the code name the same
// metrics.
func TestMetricsPageMatchesCode(t *testing.T) {
	data, err := os.ReadFile("../docs/METRICS.md")
	assert.NilError(t, err)
	codeMetrics := map[string]bool{}
	for _, s := range sources(t, "io", "app") {
		if isTest(s.path) {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
				if name := metricName.FindString(lit.Value); name != "" {
					codeMetrics[name] = true
				}
			}
			return true
		})
	}
	pageMetrics := map[string]bool{}
	for line := range strings.Lines(string(data)) {
		if name := metricName.FindString(line); strings.HasPrefix(line, "| `") && name != "" {
			pageMetrics[name] = true
		}
	}
	assert.DeepEqual(t, pageMetrics, codeMetrics)
}

// platformName matches the headers, paths, variables and fields whose names are
// defined by the users' platform, not by this project.
var platformName = regexp.MustCompile(`Sequoiadock-(Not-Executed|Expect-|Server-Signature|Kv-|Pin-Ms|Prefix-Hash|Token-Count|Serving-Stage|Lease-Holder|Fencing-Token|` +
	`Instance-|Tenant-Id|Length-Hint|Weight-Versions|Request-Priority)|Kv-Fetch|SEQUOIADOCK_BOOT|/sequoiadock/(config|resolve|kv-)|` +
	`\b(trafficSplit|gapTargetMs|targetLatencyMs|pathPrefix|coldRemainingMs|desiredCount|windowNumber|apiKeys|kvCapacityTokens)\b`)

// TestPlatformNamesOnlyInAdapter checks that only the platform adapter uses the
// platform's names.
func TestPlatformNamesOnlyInAdapter(t *testing.T) {
	var faults []string
	for _, s := range sources(t, "core", "io", "app", "standin", "proof") {
		if s.path == "../core/house_test.go" {
			continue
		}
		if name := platformName.Find(s.data); name != nil {
			faults = append(faults, s.path+" uses "+string(name)+", which is a name of the platform")
		}
	}
	report(t, faults)
}

// maxAdapterLines is the maximum number of lines of the adapter without its tests.
const maxAdapterLines = 1000

// TestAdapterOnlyTranslates checks that the adapter is small, uses no goroutines,
// locks, clocks or files, and imports no package of this project except core.
func TestAdapterOnlyTranslates(t *testing.T) {
	var faults []string
	lines := 0
	for _, s := range sources(t, "platform") {
		if isTest(s.path) {
			continue
		}
		lines += bytes.Count(s.data, []byte{'\n'})
		for _, i := range s.file.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			assert.NilError(t, err)
			outsideCore := strings.HasPrefix(name, "sequoiadock/") && !strings.HasPrefix(name, "sequoiadock/core")
			if outsideCore || slices.Contains([]string{"sync", "sync/atomic", "os", "math/rand"}, name) {
				faults = append(faults, s.path+" imports "+name)
			}
		}
		faults = append(faults, goroutinesAndClockCalls(s)...)
	}
	if lines > maxAdapterLines {
		faults = append(faults, "the adapter has "+strconv.Itoa(lines)+" lines; move its decisions into core or app")
	}
	report(t, faults)
}
