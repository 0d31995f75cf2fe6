// Package sqlog writes numbered events as structured logs.
package sqlog

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"sequoiadock/core/sqevent"
)

// Config configures a Log.
type Config struct {
	// Name is the name of the process.
	Name string
	// Output receives one JSON object per line.
	Output io.Writer
	// Level is the lowest level that is written.
	Level sqevent.Level
}

// Log writes events. It is safe for concurrent use.
type Log struct {
	logger hclog.Logger
}

// New returns a log configured by cfg.
func New(cfg Config) *Log {
	return &Log{logger: hclog.New(&hclog.LoggerOptions{
		Name:       cfg.Name,
		Output:     cfg.Output,
		Level:      hclogLevel(cfg.Level),
		JSONFormat: true,
	})}
}

// Event writes e with values for its fields, in order. Fields without a value are
// omitted, and surplus values are dropped.
func (l *Log) Event(e sqevent.Event, values ...any) {
	args := make([]any, 0, 2+2*len(values))
	args = append(args, "event", e.Number)
	for i, v := range values {
		if i >= len(e.Fields) {
			break
		}
		args = append(args, e.Fields[i], v)
	}
	l.logger.Log(hclogLevel(e.Level), e.Text, args...)
}

func hclogLevel(l sqevent.Level) hclog.Level {
	switch l {
	case sqevent.Debug:
		return hclog.Debug
	case sqevent.Info:
		return hclog.Info
	case sqevent.Warn:
		return hclog.Warn
	default:
		return hclog.Error
	}
}
