package sqcluster

import (
	"os"
	"path/filepath"
)

// keepFilesVariable is the environment variable with the folder in which the files
// of deployments are kept after a test.
const keepFilesVariable = "SEQUOIADOCK_PROOF_FILES"

// Runner runs the tests of a package; testing.M is one.
type Runner interface {
	Run() int
}

// Main runs a package's tests, removes the binaries that Build wrote and exits.
func Main(m Runner) {
	code := m.Run()
	CleanUp()
	os.Exit(code)
}

// TestFolder returns the empty folder for the deployment of a test. It is tempFolder,
// or a kept folder with the test's name below the folder in SEQUOIADOCK_PROOF_FILES
// if that variable is set.
func TestFolder(tempFolder, name string) (string, error) {
	parent := os.Getenv(keepFilesVariable)
	if parent == "" {
		return tempFolder, nil
	}
	folder := filepath.Join(parent, name)
	if err := os.RemoveAll(folder); err != nil {
		return "", operationError("empty "+folder, err)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", operationError("create "+folder, err)
	}
	return folder, nil
}
