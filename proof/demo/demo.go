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

// Kinds of orders in the stand-ins' record.
const (
	orderRole = "role"
	orderAdd  = "add"
)

// demo is one run.
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
		{"a caller asks which address to use", d.address},
		{"the caller sends its key and a question", d.ask},
		{"the caller books, and sends the same call again", d.book},
		{"a caller with a wrong key is refused", d.wrongKey},
		{"long prompts arrive; orders and a usage report, as the stand-ins received them", d.orders},
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

// operate runs an operator's command and shows it with its output.
func (d *demo) operate(ctx context.Context, args ...string) error {
	d.say("$ sequoiadock " + strings.ReplaceAll(strings.Join(args, " "), d.example.folder, "FOLDER"))
	out, err := d.cluster.CommandOutput(ctx, "", args...)
	if err != nil {
		return err
	}
	d.say(out)
	return nil
}

func (d *demo) publish(ctx context.Context) error {
	if err := d.operate(ctx, "check", d.example.folder); err != nil {
		return err
	}
	if err := d.operate(ctx, "publish", "-base", "0", d.example.folder); err != nil {
		return err
	}
	return d.cluster.WaitUntilServing(ctx)
}

func (d *demo) orders(ctx context.Context) error {
	wanted := []struct {
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
	stop := d.load(ctx)
	defer stop()
	for _, w := range wanted {
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
		d.say(w.text + " " + found.OrderID + ": " + w.show(found))
		if found.OrderID == "" {
			continue
		}
		if err := d.operate(ctx, "explain", found.OrderID); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) explain(ctx context.Context) error {
	return d.operate(ctx, "explain", d.decision)
}

func (d *demo) burn(ctx context.Context) error {
	return d.operate(ctx, "report", "burn")
}

func (d *demo) withdraw(ctx context.Context) error {
	if err := d.operate(ctx, "key", "withdraw", d.example.team+"-1"); err != nil {
		return err
	}
	return d.expectRefusal(ctx, d.example.key)
}

// stop ends every process in the order of a planned stop and wants each to end
// well.
func (d *demo) stop(ctx context.Context) error {
	var all []*sqcluster.Process
	for _, e := range d.cluster.Entries() {
		all = append(all, e.Process)
	}
	for _, c := range d.cluster.Controls() {
		all = append(all, c.Process)
	}
	for _, p := range append(all, d.cluster.FleetProcess()) {
		limited, cancel := context.WithTimeout(ctx, 20*time.Second)
		code, err := p.Stop(limited)
		cancel()
		if err != nil {
			return err
		}
		if code != 0 {
			return sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: p.Name() + " ended with a failure; see " + p.Output()})
		}
		d.say(p.Name() + " stopped")
	}
	return nil
}
