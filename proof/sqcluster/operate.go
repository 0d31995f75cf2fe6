package sqcluster

import (
	"bytes"
	"context"
	"net/http"
	"os/exec"
	"strings"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
)

// CommandResult is the output and the exit code of an operator's command.
type CommandResult struct {
	stdout, stderr string
	exitCode       int
}

// Stdout returns the standard output.
func (o CommandResult) Stdout() string { return o.stdout }

// Stderr returns the standard error.
func (o CommandResult) Stderr() string { return o.stderr }

// ExitCode returns the exit code.
func (o CommandResult) ExitCode() int { return o.exitCode }

// RunCommand runs an operator's command. The command gets the addresses of the
// control processes from the environment instead of the flag -controls.
func (c *Cluster) RunCommand(ctx context.Context, stdin string, args ...string) CommandResult {
	cmd := exec.CommandContext(ctx, c.binaries.Sequoiadock(), args...)
	cmd.Env = append(cmd.Environ(), "SEQUOIADOCK_CONTROLS="+strings.Join(c.ControlAddresses(), ","))
	cmd.Stdin = strings.NewReader(stdin)
	var stdout, stderr bytes.Buffer
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	code := 0
	if err := cmd.Run(); err != nil {
		code = cmd.ProcessState.ExitCode()
	}
	return CommandResult{stdout: stdout.String(), stderr: stderr.String(), exitCode: code}
}

// CommandOutput is like RunCommand, but returns the standard output and turns a
// non-zero exit code into an error.
func (c *Cluster) CommandOutput(ctx context.Context, stdin string, args ...string) (string, error) {
	o := c.RunCommand(ctx, stdin, args...)
	if o.exitCode != 0 {
		return "", sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: strings.Join(args, " ") + ": " + o.stdout + o.stderr})
	}
	return o.stdout, nil
}

// setUpDeployment gives the new control processes their identity and waits until
// one of them holds the lease.
func (c *Cluster) setUpDeployment(ctx context.Context) error {
	if _, err := c.CommandOutput(ctx, "", "setup", "-deployment", Deployment); err != nil {
		return err
	}
	_, err := c.WaitForHolder(ctx)
	return err
}

// publishInitial publishes the declarations and waits until entries serve them.
// It does not wait for the publish command, which runs until the leases of entries
// that an earlier holder may have known have expired: there are no such entries.
func (c *Cluster) publishInitial(ctx context.Context) error {
	if err := c.cfg.Declarations.Write(c.DeclarationsFolder()); err != nil {
		return err
	}
	go func() {
		_, err := c.CommandOutput(background(), "", "publish", "-base", "0", c.DeclarationsFolder())
		c.publishResult <- err
	}()
	if err := c.WaitUntilServing(ctx); err != nil {
		return operationError(c.publishStatus(), err)
	}
	return nil
}

func (c *Cluster) publishStatus() string {
	select {
	case err := <-c.publishResult:
		if err != nil {
			return err.Error()
		}
		return "published, but not served"
	default:
		return "the publish command is still running"
	}
}

// WaitUntilServing waits until every running entry has the newest configuration
// and the holder knows at least as many endpoints as the fleet started with.
func (c *Cluster) WaitUntilServing(ctx context.Context) error {
	return c.Eventually(ctx, "every entry serves the configuration", func() bool {
		s, _, err := c.HolderStatus(ctx)
		if err != nil || s.GetConfigurationVersion() == 0 {
			return false
		}
		if len(s.GetEndpoints()) < len(c.standins.Endpoints) {
			return false
		}
		fresh := map[string]bool{}
		for _, e := range s.GetEntries() {
			fresh[e.GetEntry()] = e.GetFresh() && !e.GetLeaving() && e.GetVersion() == s.GetConfigurationVersion()
		}
		for _, e := range c.entries {
			if e.Running() && !fresh[e.Name()] {
				return false
			}
		}
		return true
	})
}

// Status requests the status of one control process, bypassing its proxy.
func (c *Cluster) Status(ctx context.Context, n *Control) (*sqrpc.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.client.Timeout)
	defer cancel()
	return sqrpc.NewControlProtobufClient("http://"+n.listen, &http.Client{}).Status(ctx, &sqrpc.StatusRequest{})
}

// HolderStatus returns the status of the control process that holds the lease, and
// the process.
func (c *Cluster) HolderStatus(ctx context.Context) (*sqrpc.StatusResponse, *Control, error) {
	for _, n := range c.controls {
		if !n.Running() {
			continue
		}
		s, err := c.Status(ctx, n)
		if err == nil && s.GetHoldsLease() {
			return s, n, nil
		}
	}
	return nil, nil, sqerror.New(sqerror.Config{Kind: sqerror.NotHolder, Detail: "no control process holds the lease"})
}

// WaitForHolder waits until a control process holds the lease.
func (c *Cluster) WaitForHolder(ctx context.Context) (*Control, error) {
	var holder *Control
	err := c.Eventually(ctx, "a control process holds the lease", func() bool {
		_, n, err := c.HolderStatus(ctx)
		holder = n
		return err == nil
	})
	return holder, err
}
