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

// Address returns the "ip:port" that others use, behind the proxy if any.
func (n *Control) Address() string { return n.address }

// DirectAddress returns the "ip:port" of the process itself.
func (n *Control) DirectAddress() string { return n.listen }

// DataFolder returns the folder with the replica's files.
func (n *Control) DataFolder() string { return n.data }

// Proxy returns the link to the process, or nil without one.
func (n *Control) Proxy() *Proxy { return n.proxy }

// WipeData removes the replica's files; the process must not run.
func (n *Control) WipeData() error {
	if err := os.RemoveAll(n.data); err != nil {
		return failed("wipe "+n.data, err)
	}
	return nil
}

// Entry is one entry process.
type Entry struct {
	*Process
	zone     string
	callers  string
	internal string
}

// Zone returns the availability zone.
func (n *Entry) Zone() string { return n.zone }

// CallerAddress returns the "ip:port" for callers.
func (n *Entry) CallerAddress() string { return n.callers }

// InternalAddress returns the "ip:port" for operators and metrics.
func (n *Entry) InternalAddress() string { return n.internal }

func (c *Cluster) startControls(ctx context.Context) error {
	for i := range c.cfg.ControlCount {
		n, err := c.newControl("control"+strconv.Itoa(i+1), c.cfg.Zones[i%len(c.cfg.Zones)])
		if err != nil {
			return err
		}
		c.controls = append(c.controls, n)
	}
	for _, n := range c.controls {
		if err := c.writeControl(n); err != nil {
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
		n.proxy, err = c.proxyTo(name, listen)
		if err != nil {
			return nil, err
		}
		n.address = n.proxy.Address()
	}
	return n, nil
}

// AddControl starts a control process on an empty folder under the name of one
// whose disk was lost; operators then replace that one.
func (c *Cluster) AddControl(ctx context.Context, name, zone string) (*Control, error) {
	n, err := c.newControl(name+"-new", zone)
	if err != nil {
		return nil, err
	}
	c.controls = append(c.controls, n)
	if err := c.writeControlNamed(n, name); err != nil {
		return nil, err
	}
	if err := n.Start(); err != nil {
		return nil, err
	}
	return n, c.WaitUntilHealthy(ctx, n.Process, n.listen)
}

// newProcess returns a process of the product with its settings in its folder.
func (c *Cluster) newProcess(name, command string) *Process {
	return &Process{cfg: processConfig{
		name: name, path: c.binaries.Sequoiadock(), args: []string{command, "-settings", c.path(name, "settings.toml")},
		env: c.cfg.Env, output: c.path(name + ".log"),
	}}
}

func (c *Cluster) writeControl(n *Control) error { return c.writeControlNamed(n, n.Name()) }

func (c *Cluster) writeControlNamed(n *Control, name string) error {
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
		c.platformAddress(), intTable("timing", c.cfg.ControlTiming), stringTable("policy", c.cfg.ControlPolicy))
	return writeFile(c.path(n.Name(), "settings.toml"), settings)
}

func (c *Cluster) startEntries(ctx context.Context) error {
	for i := range c.cfg.EntryCount {
		if _, err := c.addEntry("entry"+strconv.Itoa(i+1), c.cfg.Zones[i%len(c.cfg.Zones)]); err != nil {
			return err
		}
	}
	for _, n := range c.entries {
		if err := c.WaitUntilHealthy(ctx, n.Process, n.internal); err != nil {
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
	n := &Entry{Process: c.newProcess(name, "entry"), zone: zone, callers: callers, internal: internal}
	settings := fmt.Sprintf(`[node]
deployment = %q
name = %q
zone = %q
callers = %q
internal = %q

[cluster]
controls = [%s]
%s%s%s`, Deployment, name, zone, callers, internal, quotedList(c.ControlAddresses()),
		intTable("timing", c.cfg.EntryTiming), intTable("limits", c.cfg.EntryLimits), stringTable("policy", c.cfg.EntryPolicy))
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

// WaitUntilHealthy waits until a process answers at its address.
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

// Eventually asks again and again until ok holds, for a bounded time.
func (c *Cluster) Eventually(ctx context.Context, what string, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			return sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: "waited in vain until " + what})
		case <-time.After(waitStep):
		}
	}
	return nil
}

func intTable(name string, lines map[string]int) string {
	text := map[string]string{}
	for k, v := range lines {
		text[k] = strconv.Itoa(v)
	}
	return table(name, text)
}

func stringTable(name string, lines map[string]string) string {
	text := map[string]string{}
	for k, v := range lines {
		text[k] = strconv.Quote(v)
	}
	return table(name, text)
}

func table(name string, lines map[string]string) string {
	if len(lines) == 0 {
		return ""
	}
	var all []string
	for k, v := range lines {
		all = append(all, k+" = "+v)
	}
	slices.Sort(all)
	return "\n[" + name + "]\n" + strings.Join(all, "\n") + "\n"
}
