// Command sqload generates load for a deployment, with a mix of requests that
// varies over time, and reports the results of each team.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"sequoiadock/standin/sqfailure"
	"sequoiadock/standin/sqmix"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	set := flag.NewFlagSet("sqload", flag.ContinueOnError)
	set.SetOutput(stderr)
	var cfg sqmix.Config
	entries := set.String("entries", "", "`ip:port` of entries, separated by commas")
	zones := set.String("zones", "", "availability zones of the callers, separated by commas")
	teams := set.String("teams", "", "`file` with a team on each line, as name:key:share:demand; keys are not taken from the command line, where others could read them")
	asJSON := set.Bool("json", false, "print JSON in camel case")
	set.Uint64Var(&cfg.Seed, "seed", 1, "seed of the arrivals")
	set.DurationVar(&cfg.Duration, "duration", 10*time.Second, "period over which requests are sent")
	set.Float64Var(&cfg.ChatRate, "rate", 20, "assistant requests per second")
	set.Float64Var(&cfg.BookingRate, "call-rate", 0, "bookings per second")
	set.StringVar(&cfg.Model, "model", "", "model to ask")
	set.DurationVar(&cfg.MixPeriod, "swing", 0, "period of the variation between long prompts and long answers; 0 means half the duration")
	set.DurationVar(&cfg.FirstTokenTarget, "first-token", 0, "time limit for the first token of an on-time request")
	set.DurationVar(&cfg.TokenIntervalTarget, "between", 0, "limit for the mean time between tokens of an on-time request")
	set.DurationVar(&cfg.Deadline, "deadline", 0, "time limit for the whole answer of an on-time request")
	set.BoolVar(&cfg.RetryRefusals, "retry-refusals", false, "retry a refusal that carries a retry delay")
	if err := set.Parse(args); err != nil {
		return 2
	}
	if err := setConfig(&cfg, *entries, *zones, *teams); err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := sqmix.Run(ctx, cfg)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	if *asJSON {
		e := json.NewEncoder(stdout)
		e.SetIndent("", "  ")
		if err := e.Encode(report); err != nil {
			return 1
		}
		return 0
	}
	report.WriteText(stdout)
	return 0
}

// setConfig sets the entries, zones and teams of cfg from the flag values.
func setConfig(cfg *sqmix.Config, entries, zones, teams string) error {
	if entries == "" || teams == "" {
		return sqfailure.New(sqfailure.Config{Action: "read flags", Detail: "-entries and -teams are needed"})
	}
	cfg.Entries = strings.Split(entries, ",")
	if zones != "" {
		cfg.Zones = strings.Split(zones, ",")
	}
	b, err := os.ReadFile(teams)
	if err != nil {
		return sqfailure.New(sqfailure.Config{Action: "read teams", Cause: err})
	}
	for _, t := range strings.Fields(string(b)) {
		team, err := parseTeam(t)
		if err != nil {
			return err
		}
		cfg.Teams = append(cfg.Teams, team)
	}
	return nil
}

func parseTeam(s string) (sqmix.Team, error) {
	parts := strings.Split(s, ":")
	if len(parts) != 4 {
		return sqmix.Team{}, sqfailure.New(sqfailure.Config{Action: "read flags", Detail: "a team is name:key:share:demand"})
	}
	share, err := strconv.ParseFloat(parts[2], 64)
	if err != nil {
		return sqmix.Team{}, sqfailure.New(sqfailure.Config{Action: "read flags", Detail: "share of team " + parts[0], Cause: err})
	}
	demand, err := strconv.ParseFloat(parts[3], 64)
	if err != nil {
		return sqmix.Team{}, sqfailure.New(sqfailure.Config{Action: "read flags", Detail: "demand of team " + parts[0], Cause: err})
	}
	return sqmix.Team{Name: parts[0], Key: parts[1], Share: share, Demand: demand}, nil
}
