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

// startFleet starts one process that runs all stand-ins.
func (c *Cluster) startFleet(ctx context.Context) error {
	settings := c.cfg.Fleet
	settings.Fleet.RecordPath = c.path("record.jsonl")
	c.recordReader = sqrecord.NewReader(settings.Fleet.RecordPath)
	b, err := toml.Marshal(settings)
	if err != nil {
		return operationError("write fleet settings", err)
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
	if err := c.Eventually(ctx, "the stand-ins serve", c.readStandinAddresses); err != nil {
		return err
	}
	if c.cfg.ProxyPlatform {
		c.platform, err = c.openProxy("platform", c.standins.Platform)
	}
	return err
}

func (c *Cluster) readStandinAddresses() bool {
	b, err := os.ReadFile(c.fleet.Output())
	if err != nil {
		return false
	}
	line, _, ok := strings.Cut(string(b), "\n")
	return ok && json.Unmarshal([]byte(line), &c.standins) == nil
}

func (c *Cluster) platformAddress() string {
	if c.platform != nil {
		return c.platform.Address()
	}
	return c.standins.Platform
}

// Endpoints returns the endpoints of one kind that the fleet started with.
func (c *Cluster) Endpoints(kind string) []sqfleet.Endpoint {
	var all []sqfleet.Endpoint
	for _, e := range c.standins.Endpoints {
		if e.Kind == kind {
			all = append(all, e)
		}
	}
	return all
}

// RecordEntries returns the entries that the stand-ins have recorded so far.
func (c *Cluster) RecordEntries() ([]sqrecord.Entry, error) {
	return c.recordReader.Entries()
}

// InjectFault injects a fault into the stand-in at an address.
func (c *Cluster) InjectFault(address string, f sqfault.Fault) error {
	return c.PostJSON(address, "/standin/fault", f, nil)
}

// ClearFaults removes all injected faults of the stand-in at an address.
func (c *Cluster) ClearFaults(address string) error {
	return c.PostJSON(address, "/standin/clear", nil, nil)
}

// PostJSON posts in as JSON to a control path of the stand-in at an address and
// decodes the response into out unless out is nil.
func (c *Cluster) PostJSON(address, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return operationError("encode "+path, err)
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
		return operationError("decode "+path, err)
	}
	return nil
}

// GetJSON decodes the JSON at a path of the stand-in at an address into out.
func (c *Cluster) GetJSON(address, path string, out any) error {
	res, err := c.client.Get("http://" + address + path)
	if err != nil {
		return sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Detail: address + path, Cause: err})
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return operationError("decode "+path, err)
	}
	return nil
}
