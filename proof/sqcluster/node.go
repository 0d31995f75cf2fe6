package sqcluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"sequoiadock/core/sqerror"
)

// Control is one control process.
type Control struct {
	*Process
	zone    string
	listen  string
	address string
	data    string
	proxy   *Proxy
}

// Zone returns the availability zone.
func (n *Control) Zone() string { return n.zone }

// Address returns the "ip:port" that other processes connect to: that of the
// proxy if there is one.
func (n *Control) Address() string { return n.address }

// DirectAddress returns the "ip:port" of the process itself, which bypasses the
// proxy.
func (n *Control) DirectAddress() string { return n.listen }

// DataFolder returns the folder with the replica's files.
func (n *Control) DataFolder() string { return n.data }

// Proxy returns the fault proxy in front of the process, or nil if there is none.
func (n *Control) Proxy() *Proxy { return n.proxy }

// WipeData removes the replica's files; the process must not be running.
func (n *Control) WipeData() error {
	if err := os.RemoveAll(n.data); err != nil {
		return operationError("wipe "+n.data, err)
	}
	return nil
}

// Entry is one entry process.
type Entry struct {
	*Process
	zone            string
	callerAddress   string
	internalAddress string
}

// Zone returns the availability zone.
func (n *Entry) Zone() string { return n.zone }

// CallerAddress returns the "ip:port" that callers connect to.
func (n *Entry) CallerAddress() string { return n.callerAddress }

// InternalAddress returns the "ip:port" for operators and metrics.
func (n *Entry) InternalAddress() string { return n.internalAddress }

func (c *Cluster) startControls(ctx context.Context) error {
	for i := range c.cfg.ControlCount {
		n, err := c.newControl("control"+strconv.Itoa(i+1), c.cfg.Zones[i%len(c.cfg.Zones)])
		if err != nil {
			return err
		}
		c.controls = append(c.controls, n)
	}
	for _, n := range c.controls {
		if err := c.writeSettings(n); err != nil {
			return err
		}
		if err := n.Start(); err != nil {
			return err
		}
	}
	for _, n := range c.controls {
		if err := c.WaitUntilHealthy(ctx, n.Process, n.listen); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) newControl(name, zone string) (*Control, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	n := &Control{zone: zone, listen: listen, address: listen, data: c.path(name, "data")}
	n.Process = c.newProcess(name, "control")
	if c.cfg.ProxyControls {
		n.proxy, err = c.openProxy(name, listen)
		if err != nil {
			return nil, err
		}
		n.address = n.proxy.Address()
	}
	return n, nil
}

// AddControl starts a control process with an empty data folder under the name of a
// control process whose disk was lost. An operator's replace command then admits
// it in place of the lost one.
func (c *Cluster) AddControl(ctx context.Context, name, zone string) (*Control, error) {
	n, err := c.newControl(name+"-new", zone)
	if err != nil {
		return nil, err
	}
	c.controls = append(c.controls, n)
	if err := c.writeSettingsAs(n, name); err != nil {
		return nil, err
	}
	if err := n.Start(); err != nil {
		return nil, err
	}
	return n, c.WaitUntilHealthy(ctx, n.Process, n.listen)
}

// newProcess returns a process of the product that has a folder with its settings.
func (c *Cluster) newProcess(name, command string) *Process {
	return &Process{cfg: processConfig{
		name: name, path: c.binaries.Sequoiadock(), args: []string{command, "-settings", c.path(name, "settings.toml")},
		env: c.cfg.Env, output: c.path(name + ".log"),
	}}
}

func (c *Cluster) writeSettings(n *Control) error { return c.writeSettingsAs(n, n.Name()) }

func (c *Cluster) writeSettingsAs(n *Control, name string) error {
	settings := fmt.Sprintf(`[node]
deployment = %q
name = %q
zone = %q
listen = %q
advertise = %q
dataFolder = %q

[cluster]
controls = [%s]

[platform]
address = %q
%s%s`, Deployment, name, n.zone, n.listen, n.address, n.data, quotedList(c.ControlAddresses()),
		c.platformAddress(), tomlIntTable("timing", c.cfg.ControlTiming), tomlStringTable("policy", c.cfg.ControlPolicy))
	return writeFile(c.path(n.Name(), "settings.toml"), settings)
}

func (c *Cluster) startEntries(ctx context.Context) error {
	for i := range c.cfg.EntryCount {
		if _, err := c.addEntry("entry"+strconv.Itoa(i+1), c.cfg.Zones[i%len(c.cfg.Zones)]); err != nil {
			return err
		}
	}
	for _, n := range c.entries {
		if err := c.WaitUntilHealthy(ctx, n.Process, n.internalAddress); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) addEntry(name, zone string) (*Entry, error) {
	callers, err := freeAddress()
	if err != nil {
		return nil, err
	}
	internal, err := freeAddress()
	if err != nil {
		return nil, err
	}
	n := &Entry{Process: c.newProcess(name, "entry"), zone: zone, callerAddress: callers, internalAddress: internal}
	settings := fmt.Sprintf(`[node]
deployment = %q
name = %q
zone = %q
callers = %q
internal = %q

[cluster]
controls = [%s]
%s%s%s`, Deployment, name, zone, callers, internal, quotedList(c.ControlAddresses()),
		tomlIntTable("timing", c.cfg.EntryTiming), tomlIntTable("limits", c.cfg.EntryLimits), tomlStringTable("policy", c.cfg.EntryPolicy))
	if err := writeFile(c.path(name, "settings.toml"), settings); err != nil {
		return nil, err
	}
	c.entries = append(c.entries, n)
	return n, n.Start()
}

// ControlAddresses returns the addresses of the control processes.
func (c *Cluster) ControlAddresses() []string {
	var all []string
	for _, n := range c.controls {
		all = append(all, n.address)
	}
	return all
}

// WaitUntilHealthy waits until /healthz at the address returns 200.
func (c *Cluster) WaitUntilHealthy(ctx context.Context, p *Process, address string) error {
	return c.Eventually(ctx, p.Name()+" answers at "+address, func() bool {
		res, err := c.client.Get("http://" + address + "/healthz")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// Eventually polls the condition until it holds, for at most readyTimeout. The
// error contains the description.
func (c *Cluster) Eventually(ctx context.Context, description string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: "timed out waiting until " + description})
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func tomlIntTable(name string, values map[string]int) string {
	literals := map[string]string{}
	for k, v := range values {
		literals[k] = strconv.Itoa(v)
	}
	return tomlTable(name, literals)
}

func tomlStringTable(name string, values map[string]string) string {
	literals := map[string]string{}
	for k, v := range values {
		literals[k] = strconv.Quote(v)
	}
	return tomlTable(name, literals)
}

func tomlTable(name string, values map[string]string) string {
	if len(values) == 0 {
		return ""
	}
	var all []string
	for k, v := range values {
		all = append(all, k+" = "+v)
	}
	slices.Sort(all)
	return "\n[" + name + "]\n" + strings.Join(all, "\n") + "\n"
}
