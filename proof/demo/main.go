// Command demo runs a whole deployment on loopback: it starts control processes,
// entries and stand-ins as real processes, publishes an example, sends requests
// of callers, explains the decisions about them and stops every process cleanly.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"sequoiadock/proof/sqcluster"
)

// timeout bounds the whole demo, including the build.
const timeout = 5 * time.Minute

func main() {
	example := flag.String("example", "federation", "the deployment to run: federation or association")
	root := flag.String("root", ".", "the `folder` of the repository")
	keep := flag.Bool("keep", false, "keep the folder with the settings, logs and the stand-ins' record")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := run(ctx, os.Stdout, *root, *example, *keep)
	sqcluster.CleanUp()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, out io.Writer, root, example string, keep bool) error {
	p := &progress{out: out}
	folder, err := os.MkdirTemp("", "sequoiadock-demo-")
	if err != nil {
		return newFailure("make a folder", err)
	}
	if keep {
		p.print("files: " + folder)
	} else {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	e, err := loadExample(filepath.Join(root, "examples", example), filepath.Join(folder, "example"))
	if err != nil {
		return err
	}
	p.step("build the programs")
	if _, err := sqcluster.Build(ctx); err != nil {
		return err
	}
	p.startClock()
	p.step("start stand-ins, 3 control processes and 3 entries; set the deployment up")
	cluster, err := sqcluster.Start(ctx, sqcluster.Config{
		Folder: folder, Fleet: e.fleet, Zones: e.fleet.Fleet.Zones, SkipPublish: true,
	})
	if err != nil {
		return err
	}
	defer cluster.Kill()
	d := &demo{progress: p, cluster: cluster, example: e}
	if err := d.run(ctx); err != nil {
		return err
	}
	p.step("stop every process")
	if err := d.stopAll(ctx); err != nil {
		return err
	}
	p.printDuration()
	return nil
}
