package sqjudge

import (
	"os"
	"path/filepath"
	"strings"

	"sequoiadock/core/sqerror"
)

// words are what a process prints when its code is at fault; data races are
// found when the product was built with the race detector.
var words = []string{"DATA RACE", "panic: ", "fatal error: ", "request handler panicked"}

// longestQuote bounds what is quoted of an output, in bytes.
const longestQuote = 2000

// RuntimeFailures returns the panics, fatal errors and data races in the outputs
// of the processes, the "*.log" files of a folder.
func RuntimeFailures(folder string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "no outputs of processes in " + folder})
	}
	var faults []string
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		if q := breakdown(string(b)); q != "" {
			faults = append(faults, f+": "+q)
		}
	}
	return faults, nil
}

func breakdown(text string) string {
	for _, word := range words {
		if at := strings.Index(text, word); at >= 0 {
			return text[at:min(len(text), at+longestQuote)]
		}
	}
	return ""
}
