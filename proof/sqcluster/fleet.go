package sqcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"sequoiadock/core/sqerror"
	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqfleet"
	"sequoiadock/standin/sqrecord"
)

// startFleet starts all stand-ins in one process.
func (c *Cluster) startFleet(ctx context.Context) error {
	settings := c.cfg.Fleet
	settings.Fleet.Record = c.path("record.jsonl")
	c.record = sqrecord.NewReader(settings.Fleet.Record)
	b, err := toml.Marshal(settings)
	if err != nil {
		return failed("write fleet settings", err)
	}
	path := c.path("fleet.toml")
	if err := writeFile(path, string(b)); err != nil {
		return err
	}
	c.fleet = &Process{cfg: processConfig{
		name: "fleet", path: c.binaries.Standin(), args: []string{"fleet", "-settings", path}, output: c.path("fleet.log"),
	}}
	if err := c.fleet.Start(); err != nil {
		return err
	}
	if err := c.Eventually(ctx, "the stand-ins serve", c.readReady); err != nil {
		return err
	}
	if c.cfg.ProxyPlatform {
		c.platform, err = c.proxyTo("platform", c.ready.Platform)
	}
	return err
}

func (c *Cluster) readReady() bool {
	b, err := os.ReadFile(c.fleet.Output())
	if err != nil {
		return false
	}
	line, _, ok := strings.Cut(string(b), "\n")
	return ok && json.Unmarshal([]byte(line), &c.ready) == nil
}

func (c *Cluster) platformAddress() string {
	if c.platform != nil {
		return c.platform.Address()
	}
	return c.ready.Platform
}

// Endpoints returns the endpoints of one kind that were there at the start.
func (c *Cluster) Endpoints(kind string) []sqfleet.Endpoint {
	var all []sqfleet.Endpoint
	for _, e := range c.ready.Endpoints {
		if e.Kind == kind {
			all = append(all, e)
		}
	}
	return all
}

// RecordEntries returns what the stand-ins received so far.
func (c *Cluster) RecordEntries() ([]sqrecord.Entry, error) {
	return c.record.Entries()
}

// InjectFault makes the stand-in at an address misbehave.
func (c *Cluster) InjectFault(address string, f sqfault.Fault) error {
	return c.PostJSON(address, "/standin/fault", f, nil)
}

// ClearFaults ends the misbehaviour of the stand-in at an address.
func (c *Cluster) ClearFaults(address string) error {
	return c.PostJSON(address, "/standin/clear", nil, nil)
}

// PostJSON posts JSON to a control path of the stand-in at an address.
func (c *Cluster) PostJSON(address, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return failed("encode "+path, err)
	}
	res, err := c.client.Post("http://"+address+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: address + path, Cause: err})
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode >= http.StatusBadRequest {
		return sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: address + path + ": " + res.Status + " " + string(body), Cause: err})
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return failed("decode "+path, err)
	}
	return nil
}

// GetJSON gets JSON from a path of the stand-in at an address.
func (c *Cluster) GetJSON(address, path string, out any) error {
	res, err := c.client.Get("http://" + address + path)
	if err != nil {
		return sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: address + path, Cause: err})
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return failed("decode "+path, err)
	}
	return nil
}
