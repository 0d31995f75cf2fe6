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

// maxFileBytes limits the size of one declaration or settings file.
const maxFileBytes = 1 << 20

// baseCurrent is the value of -base for the version that is current at the lease
// holder.
const baseCurrent = "current"

var checkCommand = subcommand{
	name:    "check",
	args:    "FOLDER",
	summary: "check declarations and process settings",
	help: `Reads deployment.toml, teams.toml, models.toml, every service.toml and all
process settings (control*.toml, entry*.toml, coordinator*.toml, gateway*.toml) below FOLDER and prints every
fault with its file, line, column and what to write instead. Contacts no process
and publishes nothing.`,
	local: true,
	run:   runCheck,
}

var publishCommand = subcommand{
	name:    "publish",
	args:    "FOLDER -base VERSION|current",
	summary: "publish declarations as one numbered version",
	help: `Checks FOLDER as "check" does, then publishes it as the next version if
VERSION is still the current one; otherwise another operator came first and
the command ends with a conflict (exit code 4). The command waits until the
version is in force: every entry has confirmed it or can no longer act on an
older one.`,
	addFlags: func(c *invocation, f *flag.FlagSet) {
		f.StringVar(&c.baseVersion, "base", "", "`version` that the files were based on, or \"current\"; required")
		addOperationFlag(c, f)
	},
	run: runPublish,
}

func runCheck(_ context.Context, c *invocation) error {
	if err := c.requireArgs(1); err != nil {
		return err
	}
	cfg, err := loadFolder(c.args[0])
	if err != nil {
		return err
	}
	if c.jsonOutput {
		return c.printJSON(summarize(cfg))
	}
	s := summarize(cfg)
	c.printf("%s: %d teams, %d keys, %d models, %d services; no faults\n", s.Deployment, s.Teams, s.Keys, s.Models, s.Services)
	return nil
}

func runPublish(ctx context.Context, c *invocation) error {
	if err := c.requireArgs(1); err != nil {
		return err
	}
	if c.baseVersion == "" {
		return c.usageError("-base is missing")
	}
	base, err := strconv.ParseUint(c.baseVersion, 10, 64)
	if err != nil && c.baseVersion != baseCurrent {
		return c.usageError("-base " + c.baseVersion + " is neither a version nor \"current\"")
	}
	cfg, err := loadFolder(c.args[0])
	if err != nil {
		return err
	}
	client, err := c.newClient()
	if err != nil {
		return err
	}
	status, err := client.holderStatus(ctx)
	if err != nil {
		return err
	}
	if name := status.GetIdentity().GetDeployment(); name != cfg.GetDeployment() {
		return conflictError(sqerror.WrongCluster, "the files declare deployment "+cfg.GetDeployment()+" but the control processes run "+name,
			"give the folder of "+name+" or the addresses of "+cfg.GetDeployment())
	}
	if c.baseVersion == baseCurrent {
		base = status.GetConfigurationVersion()
	}
	return c.commitAndWait(ctx, client, &sqcommand.Command{
		Body: &sqcommand.Command_Publish{Publish: &sqcommand.Publish{BaseVersion: base, Configuration: cfg}},
	}, "version")
}

// commitAndWait submits a change to the configuration or the keys, waits until
// it is in force and prints the result. change describes the change in the
// output; "version" stands for a publish and is printed with the version number.
func (c *invocation) commitAndWait(ctx context.Context, client *clusterClient, cmd *sqcommand.Command, change string) error {
	cmd.OperationId = c.operationID
	cmd.AtUnixNano = sqclock.Wall().UnixNano()
	// Committing the change in a separate request with a short timeout means that
	// a paused lease holder costs seconds, not the long timeout of the request that
	// waits for the entries.
	result, err := client.submit(ctx, cmd)
	if err != nil {
		return err
	}
	response := &sqrpc.PublishResponse{}
	waitErr := client.callHolder(ctx, longResponseTimeout, func(ctx context.Context, holder sqrpc.Control) error {
		r, err := holder.Publish(ctx, &sqrpc.SubmitRequest{Command: cmd})
		if err == nil {
			response = r
		}
		return err
	})
	version := result.GetVersion()
	if c.jsonOutput {
		return c.printJSON(struct {
			Version      uint64 `json:"version"`
			InForce      bool   `json:"inForce"`
			WaitedMillis uint32 `json:"waitedMillis"`
			Operation    string `json:"operation"`
		}{version, response.GetInForce(), response.GetWaitedMillis(), c.operationID})
	}
	if change == "version" {
		change = "version " + strconv.FormatUint(version, 10)
	}
	if response.GetInForce() {
		c.printf("%s is in force after %d ms\n", change, response.GetWaitedMillis())
		return nil
	}
	c.printf("%s is accepted, but not yet confirmed in force; see \"sequoiadock status\"\n", change)
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

func summarize(cfg *sqcommand.Configuration) summary {
	return summary{
		Deployment: cfg.GetDeployment(),
		Teams:      len(cfg.GetTeams()),
		Keys:       len(cfg.GetKeys()),
		Models:     len(cfg.GetModels()),
		Services:   len(cfg.GetServices()),
	}
}

// loadFolder reads and checks the declarations and process settings below dir.
func loadFolder(dir string) (*sqcommand.Configuration, error) {
	files, err := readTOMLFiles(dir)
	if err != nil {
		return nil, err
	}
	var declarations []sqconfig.File
	for _, f := range files {
		declarations = append(declarations, sqconfig.NewFile(f.path, f.data))
	}
	cfg, errs := sqconfig.Collect(declarations)
	errs = append(errs, checkSettings(files, cfg)...)
	if len(errs) > 0 {
		sqtoml.SortErrors(errs)
		return nil, &fileErrors{errs: errs}
	}
	return cfg, nil
}

type tomlFile struct {
	path string
	data []byte
}

// readTOMLFiles reads every TOML file below dir, except in hidden folders.
func readTOMLFiles(dir string) ([]tomlFile, error) {
	var files []tomlFile
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

func readFile(path string, d fs.DirEntry) (tomlFile, error) {
	info, err := d.Info()
	if err != nil {
		return tomlFile{}, err
	}
	if info.Size() > maxFileBytes {
		return tomlFile{}, sqerror.New(sqerror.Config{
			Kind: sqerror.BadSetting, Position: sqerror.Position{File: path}, Detail: "the file is too large", Advice: "split it",
		})
	}
	data, err := os.ReadFile(path)
	return tomlFile{path: filepath.ToSlash(path), data: data}, err
}
