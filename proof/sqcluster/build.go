// Package sqcluster runs a whole deployment as real processes on loopback, with
// fault proxies between them, for tests and experiments.
package sqcluster

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"sequoiadock/core/sqerror"
)

// Binaries locates the built commands, which are in one folder.
type Binaries struct {
	folder string
}

// Sequoiadock returns the path of the product's command.
func (b Binaries) Sequoiadock() string { return filepath.Join(b.folder, "sequoiadock") }

// Standin returns the path of the command that runs the stand-ins.
func (b Binaries) Standin() string { return filepath.Join(b.folder, "standin") }

// Sqload returns the path of the load generator.
func (b Binaries) Sqload() string { return filepath.Join(b.folder, "sqload") }

var buildCache = struct {
	sync.Mutex
	byTags map[string]Binaries
}{byTags: map[string]Binaries{}}

// Build builds the commands with the given build tags. A process builds each set
// of tags once.
func Build(ctx context.Context, tags ...string) (Binaries, error) {
	key := strings.Join(tags, ",")
	buildCache.Lock()
	defer buildCache.Unlock()
	if b, ok := buildCache.byTags[key]; ok {
		return b, nil
	}
	root, err := repositoryRoot()
	if err != nil {
		return Binaries{}, err
	}
	folder, err := os.MkdirTemp("", "sequoiadock-bin-")
	if err != nil {
		return Binaries{}, operationError("create a folder for the binaries", err)
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-tags", key, "-o", folder+"/",
		"./app/sequoiadock", "./standin/standin", "./standin/sqload")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return Binaries{}, operationError("build: "+string(out), err)
	}
	b := Binaries{folder: folder}
	buildCache.byTags[key] = b
	return b, nil
}

// CleanUp removes the binaries that Build wrote; a TestMain calls it at its end.
func CleanUp() {
	buildCache.Lock()
	defer buildCache.Unlock()
	for key, b := range buildCache.byTags {
		_ = os.RemoveAll(b.folder)
		delete(buildCache.byTags, key)
	}
}

// repositoryRoot returns the closest folder at or above the working folder that
// contains go.work.
func repositoryRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", operationError("get the working folder", err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "no go.work at or above the working folder"})
		}
		dir = parent
	}
}

func operationError(operation string, cause error) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.OutputFailed, Detail: operation, Cause: cause})
}
