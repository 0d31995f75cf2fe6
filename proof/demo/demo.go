package main

import (
	"context"
	"net/http"
	"strings"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqrecord"
)

// Order kinds in the stand-ins' record.
const (
	orderRole = "role"
	orderAdd  = "add"
)

// demo is the state of one run of the demo.
type demo struct {
	*progress
	cluster *sqcluster.Cluster
	example *example
	client  http.Client
	// entry is the "ip:port" that the caller was told to use.
	entry    string
	decision string
}

func (d *demo) run(ctx context.Context) error {
	steps := []struct {
		text string
		run  func(context.Context) error
	}{
		{"check and publish the declarations", d.publish},
		{"a caller asks which address to use", d.findEntry},
		{"the caller sends its key and a question", d.streamChat},
		{"the caller books, and sends the same call again", d.book},
		{"a caller with a wrong key is refused", d.wrongKey},
		{"long prompts arrive; orders and a usage report, as the stand-ins received them", d.showOrders},
		{"why the question went where it did", d.explain},
		{"how fast the error budgets burn", d.burn},
		{"withdraw the key; the caller is refused", d.withdraw},
	}
	for _, s := range steps {
		d.step(s.text)
		if err := s.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runCommand runs an operator's command and prints the command and its output.
func (d *demo) runCommand(ctx context.Context, args ...string) error {
	d.print("$ sequoiadock " + strings.ReplaceAll(strings.Join(args, " "), d.example.folder, "FOLDER"))
	out, err := d.cluster.CommandOutput(ctx, "", args...)
	if err != nil {
		return err
	}
	d.print(out)
	return nil
}

func (d *demo) publish(ctx context.Context) error {
	if err := d.runCommand(ctx, "check", d.example.folder); err != nil {
		return err
	}
	if err := d.runCommand(ctx, "publish", "-base", "0", d.example.folder); err != nil {
		return err
	}
	return d.cluster.WaitUntilServing(ctx)
}

// showOrders runs load until the stand-ins have received a role order, an endpoint
// order and a usage report, and prints each of them.
func (d *demo) showOrders(ctx context.Context) error {
	expected := []struct {
		text string
		is   func(sqrecord.Entry) bool
		show func(sqrecord.Entry) string
	}{
		{
			"role order", func(e sqrecord.Entry) bool { return e.Kind == sqrecord.OrderReceived && e.OrderKind == orderRole },
			func(e sqrecord.Entry) string { return e.Source + " becomes " + e.Argument },
		},
		{
			"endpoint order", func(e sqrecord.Entry) bool { return e.Kind == sqrecord.OrderReceived && e.OrderKind == orderAdd },
			func(e sqrecord.Entry) string { return e.Argument },
		},
		{
			"usage report", func(e sqrecord.Entry) bool {
				return e.Kind == sqrecord.UsageReported && strings.Contains(string(e.Body), d.example.team)
			},
			func(e sqrecord.Entry) string { return string(e.Body) },
		},
	}
	stop := d.startLoad(ctx)
	defer stop()
	for _, w := range expected {
		var found sqrecord.Entry
		if err := d.cluster.Eventually(ctx, "the stand-ins got a "+w.text, func() bool {
			all, err := d.cluster.RecordEntries()
			if err != nil {
				return false
			}
			for _, e := range all {
				if w.is(e) {
					found = e
					return true
				}
			}
			return false
		}); err != nil {
			return err
		}
		d.print(w.text + " " + found.OrderID + ": " + w.show(found))
		if found.OrderID == "" {
			continue
		}
		if err := d.runCommand(ctx, "explain", found.OrderID); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) explain(ctx context.Context) error {
	return d.runCommand(ctx, "explain", d.decision)
}

func (d *demo) burn(ctx context.Context) error {
	return d.runCommand(ctx, "report", "burn")
}

func (d *demo) withdraw(ctx context.Context) error {
	if err := d.runCommand(ctx, "key", "withdraw", d.example.team+"-1"); err != nil {
		return err
	}
	return d.expectRefusal(ctx, d.example.key)
}

// stopAll stops every process in the order of a planned shutdown. A process that
// exits with a code other than 0 is an error.
func (d *demo) stopAll(ctx context.Context) error {
	var processes []*sqcluster.Process
	for _, e := range d.cluster.Entries() {
		processes = append(processes, e.Process)
	}
	for _, c := range d.cluster.Controls() {
		processes = append(processes, c.Process)
	}
	for _, p := range append(processes, d.cluster.FleetProcess()) {
		stopCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
		code, err := p.Stop(stopCtx)
		cancel()
		if err != nil {
			return err
		}
		if code != 0 {
			return sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: p.Name() + " ended with a failure; see " + p.Output()})
		}
		d.print(p.Name() + " stopped")
	}
	return nil
}
