// Command sqload drives a deployment with a swinging mix of requests and reports
// how each team fared.
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
	set.DurationVar(&cfg.Duration, "duration", 10*time.Second, "how long requests arrive")
	set.Float64Var(&cfg.ChatRate, "rate", 20, "assistant requests a second")
	set.Float64Var(&cfg.BookingRate, "call-rate", 0, "bookings a second")
	set.StringVar(&cfg.Model, "model", "", "model to ask")
	set.DurationVar(&cfg.MixPeriod, "swing", 0, "period of the mix; 0 means half the duration")
	set.DurationVar(&cfg.FirstTokenTarget, "first-token", 0, "when the first token is on time")
	set.DurationVar(&cfg.TokenIntervalTarget, "between", 0, "mean time between tokens that is on time")
	set.DurationVar(&cfg.Deadline, "deadline", 0, "when an answer is on time")
	set.BoolVar(&cfg.RetryRefusals, "retry-refusals", false, "come back when a refusal says when to")
	if err := set.Parse(args); err != nil {
		return 2
	}
	if err := fill(&cfg, *entries, *zones, *teams); err != nil {
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

func fill(cfg *sqmix.Config, entries, zones, teams string) error {
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
