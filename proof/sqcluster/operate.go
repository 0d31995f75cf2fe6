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

// CommandResult is what an operator's command printed and how it ended.
type CommandResult struct {
	stdout, stderr string
	code           int
}

// Stdout returns the standard output.
func (o CommandResult) Stdout() string { return o.stdout }

// Stderr returns the standard error.
func (o CommandResult) Stderr() string { return o.stderr }

// ExitCode returns the exit code.
func (o CommandResult) ExitCode() int { return o.code }

// RunCommand runs an operator's command; -controls comes from the environment.
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
	return CommandResult{stdout: stdout.String(), stderr: stderr.String(), code: code}
}

// CommandOutput is Operate for a command that has to succeed.
func (c *Cluster) CommandOutput(ctx context.Context, stdin string, args ...string) (string, error) {
	o := c.RunCommand(ctx, stdin, args...)
	if o.code != 0 {
		return "", sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: strings.Join(args, " ") + ": " + o.stdout + o.stderr})
	}
	return o.stdout, nil
}

// setUp gives the new control processes their identity and waits for a holder.
func (c *Cluster) setUp(ctx context.Context) error {
	if _, err := c.CommandOutput(ctx, "", "setup", "-deployment", Deployment); err != nil {
		return err
	}
	_, err := c.WaitForHolder(ctx)
	return err
}

// publishFirst publishes the declarations and waits until entries serve them.
// It does not wait for the command: that goes on until entries which an earlier
// holder may have known have lost their leases, and there are none.
func (c *Cluster) publishFirst(ctx context.Context) error {
	if err := c.cfg.Declarations.Write(c.DeclarationsFolder()); err != nil {
		return err
	}
	go func() {
		_, err := c.CommandOutput(background(), "", "publish", "-base", "0", c.DeclarationsFolder())
		c.published <- err
	}()
	if err := c.WaitUntilServing(ctx); err != nil {
		return failed(c.publishError(), err)
	}
	return nil
}

func (c *Cluster) publishError() string {
	select {
	case err := <-c.published:
		if err != nil {
			return err.Error()
		}
		return "published, but not served"
	default:
		return "the publish command goes on"
	}
}

// WaitUntilServing waits until every entry that runs has the newest configuration
// and every live endpoint is known to the holder.
func (c *Cluster) WaitUntilServing(ctx context.Context) error {
	return c.Eventually(ctx, "every entry serves the configuration", func() bool {
		s, _, err := c.HolderStatus(ctx)
		if err != nil || s.GetConfigurationVersion() == 0 {
			return false
		}
		if len(s.GetEndpoints()) < len(c.ready.Endpoints) {
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

// Status asks one control process directly.
func (c *Cluster) Status(ctx context.Context, n *Control) (*sqrpc.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.client.Timeout)
	defer cancel()
	return sqrpc.NewControlProtobufClient("http://"+n.listen, &http.Client{}).Status(ctx, &sqrpc.StatusRequest{})
}

// HolderStatus returns the status and the process of the lease's holder.
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
