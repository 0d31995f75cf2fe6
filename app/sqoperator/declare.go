package sqoperator

import (
	"context"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqconfig"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqtoml"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// maxFileBytes bounds one file of the folder.
const maxFileBytes = 1 << 20

// baseCurrent stands for the version that is in force now.
const baseCurrent = "current"

var checkCommand = command{
	name:    "check",
	args:    "FOLDER",
	summary: "check declarations and process settings",
	help: `Reads deployment.toml, teams.toml, models.toml, every service.toml and all
process settings (control*.toml, entry*.toml, coordinator*.toml, gateway*.toml) below FOLDER and prints every
fault with its file, line, column and what to write instead. Asks no process
and publishes nothing.`,
	local: true,
	run:   runCheck,
}

var publishCommand = command{
	name:    "publish",
	args:    "FOLDER -base VERSION|current",
	summary: "publish declarations as one numbered version",
	help: `Checks FOLDER as "check" does, then publishes it as the next version if
VERSION is still the current one; otherwise another operator came first and
the command ends with a conflict (exit code 4). The command waits until the
version is in force: every entry has confirmed it or can no longer act on an
older one.`,
	flags: func(c *call, f *flag.FlagSet) {
		f.StringVar(&c.base, "base", "", "`version` that the files were based on, or \"current\"; needed")
		operationFlag(c, f)
	},
	run: runPublish,
}

func runCheck(_ context.Context, c *call) error {
	if err := c.only(1); err != nil {
		return err
	}
	cfg, err := readFolder(c.args[0])
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(summaryOf(cfg))
	}
	s := summaryOf(cfg)
	c.printf("%s: %d teams, %d keys, %d models, %d services; no faults\n", s.Deployment, s.Teams, s.Keys, s.Models, s.Services)
	return nil
}

func runPublish(ctx context.Context, c *call) error {
	if err := c.only(1); err != nil {
		return err
	}
	if c.base == "" {
		return c.usage("-base is missing")
	}
	base, err := strconv.ParseUint(c.base, 10, 64)
	if err != nil && c.base != baseCurrent {
		return c.usage("-base " + c.base + " is neither a version nor \"current\"")
	}
	cfg, err := readFolder(c.args[0])
	if err != nil {
		return err
	}
	control, err := c.client()
	if err != nil {
		return err
	}
	status, err := control.holderStatus(ctx)
	if err != nil {
		return err
	}
	if name := status.GetIdentity().GetDeployment(); name != cfg.GetDeployment() {
		return conflict(sqerror.WrongCluster, "the files declare deployment "+cfg.GetDeployment()+" but the control processes run "+name,
			"give the folder of "+name+" or the addresses of "+cfg.GetDeployment())
	}
	if c.base == baseCurrent {
		base = status.GetConfigurationVersion()
	}
	return c.commit(ctx, control, &sqcommand.Command{
		Body: &sqcommand.Command_Publish{Publish: &sqcommand.Publish{BaseVersion: base, Configuration: cfg}},
	}, "version")
}

// commit submits a change of the configuration or the keys and waits until it
// is in force.
func (c *call) commit(ctx context.Context, control *client, cmd *sqcommand.Command, what string) error {
	cmd.OperationId = c.operation
	cmd.AtUnixNano = sqclock.Wall().UnixNano()
	// The change is committed by a short call of its own: a paused holder then
	// costs seconds, not the long time that a wait for the entries may take.
	result, err := control.submit(ctx, cmd)
	if err != nil {
		return err
	}
	answer := &sqrpc.PublishResponse{}
	waitErr := control.holder(ctx, slowTimeout, func(ctx context.Context, holder sqrpc.Control) error {
		a, err := holder.Publish(ctx, &sqrpc.SubmitRequest{Command: cmd})
		if err == nil {
			answer = a
		}
		return err
	})
	version := result.GetVersion()
	if c.json {
		return c.printJSON(struct {
			Version      uint64 `json:"version"`
			InForce      bool   `json:"inForce"`
			WaitedMillis uint32 `json:"waitedMillis"`
			Operation    string `json:"operation"`
		}{version, answer.GetInForce(), answer.GetWaitedMillis(), c.operation})
	}
	if what == "version" {
		what = "version " + strconv.FormatUint(version, 10)
	}
	if answer.GetInForce() {
		c.printf("%s is in force after %d ms\n", what, answer.GetWaitedMillis())
		return nil
	}
	c.printf("%s is accepted, but not yet confirmed in force; see \"sequoiadock status\"\n", what)
	if waitErr != nil {
		c.printf("reason: %s\n", waitErr)
	}
	return nil
}

type summary struct {
	Deployment string `json:"deployment"`
	Teams      int    `json:"teams"`
	Keys       int    `json:"keys"`
	Models     int    `json:"models"`
	Services   int    `json:"services"`
}

func summaryOf(cfg *sqcommand.Configuration) summary {
	return summary{
		Deployment: cfg.GetDeployment(),
		Teams:      len(cfg.GetTeams()),
		Keys:       len(cfg.GetKeys()),
		Models:     len(cfg.GetModels()),
		Services:   len(cfg.GetServices()),
	}
}

// readFolder collects and checks all that a folder declares.
func readFolder(dir string) (*sqcommand.Configuration, error) {
	files, err := readFiles(dir)
	if err != nil {
		return nil, err
	}
	var declarations []sqconfig.File
	for _, f := range files {
		declarations = append(declarations, sqconfig.NewFile(f.path, f.data))
	}
	cfg, all := sqconfig.Collect(declarations)
	all = append(all, checkSettings(files, cfg)...)
	if len(all) > 0 {
		sqtoml.SortErrors(all)
		return nil, &faults{all: all}
	}
	return cfg, nil
}

type file struct {
	path string
	data []byte
}

// readFiles reads every TOML file below dir, but for hidden folders.
func readFiles(dir string) ([]file, error) {
	var files []file
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if path != dir && strings.HasPrefix(d.Name(), ".") {
				return filepath.SkipDir
			}
			return nil
		}
		if filepath.Ext(path) != ".toml" || !d.Type().IsRegular() {
			return nil
		}
		f, err := readFile(path, d)
		files = append(files, f)
		return err
	})
	if err != nil {
		return nil, sqerror.New(sqerror.Config{
			Kind: sqerror.BadSetting, Position: sqerror.Position{File: dir}, Detail: "cannot be read",
			Advice: "give the folder of the declarations", Cause: err,
		})
	}
	return files, nil
}

func readFile(path string, d fs.DirEntry) (file, error) {
	info, err := d.Info()
	if err != nil {
		return file{}, err
	}
	if info.Size() > maxFileBytes {
		return file{}, sqerror.New(sqerror.Config{
			Kind: sqerror.BadSetting, Position: sqerror.Position{File: path}, Detail: "the file is too large", Advice: "split it",
		})
	}
	data, err := os.ReadFile(path)
	return file{path: filepath.ToSlash(path), data: data}, err
}
