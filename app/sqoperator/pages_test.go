package sqoperator

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	commandPattern = regexp.MustCompile("sequoiadock ([a-z]+)([^`\n|]*)")
	flagPattern    = regexp.MustCompile(`(^| )-([a-zA-Z0-9]+)`)
)

// TestDocumentedCommands checks that every command and flag in the documentation
// exists.
func TestDocumentedCommands(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	assert.NilError(t, err)
	readmes, err := filepath.Glob("../../examples/*/README.md")
	assert.NilError(t, err)
	commandCount := 0
	for _, page := range append(append(pages, readmes...), "../../README.md", "../../CHANGELOG.md") {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, command := range commandPattern.FindAllStringSubmatch(codeSpans(string(data)), -1) {
			if slices.Contains([]string{"control", "entry", "coordinator", "gateway", "help"}, command[1]) {
				continue
			}
			cmd, ok := findSubcommand(command[1])
			assert.Assert(t, ok, "%s: there is no command %s", page, command[1])
			commandCount++
			for _, flagMatch := range flagPattern.FindAllStringSubmatch(command[2], -1) {
				flagInfo := (&invocation{cmd: cmd}).flagSet().Lookup(flagMatch[2])
				assert.Assert(t, flagInfo != nil, "%s: %s has no flag -%s", page, command[1], flagMatch[2])
			}
		}
	}
	assert.Assert(t, commandCount > 10, "only %d commands were found", commandCount)
}

// codeSpans returns the inline code and code blocks of a Markdown page.
func codeSpans(page string) string {
	var b strings.Builder
	for i, part := range strings.Split(strings.ReplaceAll(page, "```", "`"), "`") {
		if i%2 == 1 {
			b.WriteString(part + "`")
		}
	}
	return b.String()
}
