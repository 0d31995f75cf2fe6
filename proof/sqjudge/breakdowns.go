package sqjudge

import (
	"os"
	"path/filepath"
	"strings"

	"sequoiadock/core/sqerror"
)

// failureMarkers are the texts that the Go runtime, the race detector and the
// product's HTTP handlers print on a panic, a fatal error or a data race. Data races
// are only found if the product was built with the race detector.
var failureMarkers = []string{"DATA RACE", "panic: ", "fatal error: ", "request handler panicked"}

// maxExcerptBytes limits the excerpt of a process's output in a failure.
const maxExcerptBytes = 2000

// RuntimeFailures searches the outputs of processes, the "*.log" files of a folder,
// for panics, fatal errors and data races. It returns one excerpt for each file that
// has any, and an error of kind NotFound if the folder has no outputs.
func RuntimeFailures(folder string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "no process outputs (*.log) in " + folder})
	}
	var failures []string
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		if excerpt := findFailure(string(b)); excerpt != "" {
			failures = append(failures, f+": "+excerpt)
		}
	}
	return failures, nil
}

func findFailure(text string) string {
	for _, marker := range failureMarkers {
		if i := strings.Index(text, marker); i >= 0 {
			return text[i:min(len(text), i+maxExcerptBytes)]
		}
	}
	return ""
}
