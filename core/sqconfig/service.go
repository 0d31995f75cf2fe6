package sqconfig

import (
	"path"
	"strconv"
	"strings"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqtoml"
)

// Ranges of a service's durations: minDuration and maxDuration for its deadline and
// token times, minRetention and maxRetention for the records of its calls.
const (
	minDuration  = time.Millisecond
	maxDuration  = time.Hour
	minRetention = time.Minute
	maxRetention = 30 * 24 * time.Hour
)

// Values of a service's kind.
const (
	kindAssistant = "assistant"
	kindPlain     = "plain"
)

// reservedRoutes are the paths that the system itself serves. No service may use
// them or a path below them.
var reservedRoutes = []string{"/v1", "/sequoiadock"}

// onceCallMethods are the HTTP methods that the calls in onceCalls, which must not
// be executed twice, may have.
var onceCallMethods = []string{"POST", "PUT", "PATCH", "DELETE", "GET"}

// serviceFile is the content of service.toml.
type serviceFile struct {
	Name               string   `toml:"name"`
	Kind               string   `toml:"kind"`
	Route              string   `toml:"route"`
	Open               bool     `toml:"open"`
	Models             []string `toml:"models"`
	OnceCalls          []string `toml:"onceCalls"`
	RecognisesIdentity bool     `toml:"recognisesIdentity"`
	Deadline           string   `toml:"deadline"`
	FirstToken         string   `toml:"firstToken"`
	BetweenTokens      string   `toml:"betweenTokens"`
	ObjectivePercent   float64  `toml:"objectivePercent"`
	RetainCalls        string   `toml:"retainCalls"`
	CheapAllowed       bool     `toml:"cheapAllowed"`
}

func readService(c *collector, f File) {
	var s serviceFile
	k := decode(f, &s)
	service := s.buildService(k)
	c.defineName(k, "name", "service", s.Name)
	if k.CheckChoice("kind", s.Kind, kindAssistant, kindPlain) {
		if s.Kind == kindAssistant {
			service.Kind = sqcommand.ServiceKind_SERVICE_KIND_ASSISTANT
			s.checkAssistant(c, k)
		} else {
			service.Kind = sqcommand.ServiceKind_SERVICE_KIND_PLAIN
			s.checkPlain(c, k)
		}
	}
	c.addFileErrors(k)
	c.cfg.Services = append(c.cfg.Services, service)
}

func (s *serviceFile) buildService(k *checker) *sqcommand.Service {
	deadline := k.checkDuration("deadline", s.Deadline, minDuration, maxDuration)
	if s.Deadline == "" && !k.Has("deadline") {
		k.AddMissing("deadline", `deadline = "30s"`)
	}
	firstToken := k.checkDuration("firstToken", s.FirstToken, minDuration, maxDuration)
	if deadline > 0 && firstToken > deadline {
		k.AddError("firstToken", "the first token may come after the deadline", "write at most "+strconv.Quote(s.Deadline))
	}
	betweenTokens := k.checkDuration("betweenTokens", s.BetweenTokens, minDuration, maxDuration)
	retention := k.checkDuration("retainCalls", s.RetainCalls, minRetention, maxRetention)
	if s.ObjectivePercent <= 0 || s.ObjectivePercent >= 100 {
		k.AddError("objectivePercent", "objectivePercent leaves no error budget", "write a number above 0 and below 100, such as 99.5")
	}
	return &sqcommand.Service{
		Name:                s.Name,
		Route:               s.Route,
		Open:                s.Open,
		Models:              s.Models,
		OnceCalls:           s.OnceCalls,
		RecognisesIdentity:  s.RecognisesIdentity,
		DeadlineMillis:      uint32(deadline.Milliseconds()),
		FirstTokenMillis:    uint32(firstToken.Milliseconds()),
		BetweenTokensMillis: uint32(betweenTokens.Milliseconds()),
		ObjectivePercent:    s.ObjectivePercent,
		RetainCallsSeconds:  uint32(retention.Seconds()),
		CheapAllowed:        s.CheapAllowed,
	}
}

func (s *serviceFile) checkAssistant(c *collector, k *checker) {
	if len(s.Models) == 0 {
		k.AddMissing("models", `models = ["model"]`)
	}
	for i, m := range s.Models {
		if k.CheckName(elementPath("models", i), m) {
			c.checkReference(k.Position(elementPath("models", i)), "model", m)
		}
	}
	k.rejectKey("route", "an assistant is reached at /v1/chat/completions")
	k.rejectKey("onceCalls", "an assistant has no calls that must not be repeated")
	k.rejectKey("recognisesIdentity", "an assistant has no calls that must not be repeated")
	k.rejectKey("retainCalls", "an assistant has no calls that must not be repeated")
}

func (s *serviceFile) checkPlain(c *collector, k *checker) {
	k.rejectKey("models", "a plain service has no models")
	k.rejectKey("firstToken", "a plain service has no tokens")
	k.rejectKey("betweenTokens", "a plain service has no tokens")
	s.checkRoute(c, k)
	for i, call := range s.OnceCalls {
		s.checkOnceCall(k, elementPath("onceCalls", i), call)
	}
	if len(s.OnceCalls) == 0 {
		return
	}
	if s.RetainCalls == "" && !k.Has("retainCalls") {
		k.AddError("onceCalls", "retainCalls is missing", `write for how long callers may retry, such as retainCalls = "24h"`)
	}
	if s.Open {
		// Without a team, one caller could read the outcome of another's call.
		k.AddError("open", "calls that must not be repeated need a team", "write open = false")
	}
	if s.CheapAllowed && !s.RecognisesIdentity {
		k.AddError("cheapAllowed", "a call that must not be repeated would be lost with a cheap endpoint", "write cheapAllowed = false")
	}
}

func (s *serviceFile) checkRoute(c *collector, k *checker) {
	if s.Route == "" {
		k.AddMissing("route", `route = "/`+s.Name+`"`)
		return
	}
	if !isRoute(s.Route) {
		k.AddError("route", strconv.Quote(s.Route)+" is not a valid route", `write a path without a slash at the end, such as "/booking"`)
		return
	}
	for _, reserved := range reservedRoutes {
		if isUnder(s.Route, reserved) || isUnder(reserved, s.Route) {
			k.AddError("route", strconv.Quote(s.Route)+" belongs to the system", "write a route that does not begin with "+reserved)
			return
		}
	}
	place := k.Position("route")
	if !c.define(place, "route", s.Route) {
		return
	}
	c.crossChecks = append(c.crossChecks, func() {
		for i := 1; i < len(s.Route); i++ {
			if _, ok := c.definitions["route "+s.Route[:i]]; ok && s.Route[i] == '/' {
				c.addError(place, strconv.Quote(s.Route)+" lies within the route "+strconv.Quote(s.Route[:i]), "write a route outside it")
			}
		}
	})
}

func (s *serviceFile) checkOnceCall(k *checker, callPath, call string) {
	method, route, ok := strings.Cut(call, " ")
	if !ok || !isRoute(route) {
		k.AddError(callPath, strconv.Quote(call)+" is not a valid call", `write a method and a path, such as "POST `+s.Route+`/places"`)
		return
	}
	if !k.CheckChoice(callPath, method, onceCallMethods...) {
		return
	}
	if s.Route != "" && !isUnder(route, s.Route) {
		k.AddError(callPath, strconv.Quote(call)+" lies outside the service's route", "write a path that begins with "+s.Route)
	}
}

// rejectKey adds an error if the file has a key that this kind of service does not
// support.
func (k *checker) rejectKey(name, detail string) {
	if k.Has(name) {
		k.AddError(name, detail, "remove "+name)
	}
}

func isRoute(s string) bool {
	if !strings.HasPrefix(s, "/") || s == "/" || path.Clean(s) != s {
		return false
	}
	return strings.IndexFunc(s[1:], func(r rune) bool { return r != '/' && !sqtoml.IsValidName(string(r)) }) < 0
}

func isUnder(route, parent string) bool {
	return route == parent || strings.HasPrefix(route, parent+"/")
}
