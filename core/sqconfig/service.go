package sqconfig

import (
	"path"
	"strconv"
	"strings"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqtoml"
)

// Bounds of a service's times.
const (
	shortestTime   = time.Millisecond
	longestTime    = time.Hour
	shortestRetain = time.Minute
	longestRetain  = 30 * 24 * time.Hour
)

// Words of a service's kind.
const (
	kindAssistant = "assistant"
	kindPlain     = "plain"
)

// ownRoutes are the paths that the system itself serves.
var ownRoutes = []string{"/v1", "/sequoiadock"}

// methods are those that a once-only call may have.
var methods = []string{"POST", "PUT", "PATCH", "DELETE", "GET"}

// serviceFile is service.toml as written.
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
	service := s.service(k)
	c.named(k, "name", "service", s.Name)
	if k.CheckChoice("kind", s.Kind, kindAssistant, kindPlain) {
		if s.Kind == kindAssistant {
			service.Kind = sqcommand.ServiceKind_SERVICE_KIND_ASSISTANT
			s.checkAssistant(c, k)
		} else {
			service.Kind = sqcommand.ServiceKind_SERVICE_KIND_PLAIN
			s.checkPlain(c, k)
		}
	}
	c.finish(k)
	c.cfg.Services = append(c.cfg.Services, service)
}

func (s *serviceFile) service(k *checker) *sqcommand.Service {
	deadline := k.duration("deadline", s.Deadline, shortestTime, longestTime)
	if s.Deadline == "" && !k.Has("deadline") {
		k.AddMissing("deadline", `deadline = "30s"`)
	}
	first := k.duration("firstToken", s.FirstToken, shortestTime, longestTime)
	if deadline > 0 && first > deadline {
		k.AddError("firstToken", "the first token may come after the deadline", "write at most "+strconv.Quote(s.Deadline))
	}
	between := k.duration("betweenTokens", s.BetweenTokens, shortestTime, longestTime)
	retain := k.duration("retainCalls", s.RetainCalls, shortestRetain, longestRetain)
	if s.ObjectivePercent <= 0 || s.ObjectivePercent >= 100 {
		k.AddError("objectivePercent", "objectivePercent leaves no budget to burn", "write a number above 0 and below 100, such as 99.5")
	}
	return &sqcommand.Service{
		Name:                s.Name,
		Route:               s.Route,
		Open:                s.Open,
		Models:              s.Models,
		OnceCalls:           s.OnceCalls,
		RecognisesIdentity:  s.RecognisesIdentity,
		DeadlineMillis:      uint32(deadline.Milliseconds()),
		FirstTokenMillis:    uint32(first.Milliseconds()),
		BetweenTokensMillis: uint32(between.Milliseconds()),
		ObjectivePercent:    s.ObjectivePercent,
		RetainCallsSeconds:  uint32(retain.Seconds()),
		CheapAllowed:        s.CheapAllowed,
	}
}

func (s *serviceFile) checkAssistant(c *collector, k *checker) {
	if len(s.Models) == 0 {
		k.AddMissing("models", `models = ["model"]`)
	}
	for i, m := range s.Models {
		if k.CheckName(at("models", i), m) {
			c.refer(k.Place(at("models", i)), "model", m)
		}
	}
	k.foreign("route", "an assistant is reached at /v1/chat/completions")
	k.foreign("onceCalls", "an assistant has no calls that must not be repeated")
	k.foreign("recognisesIdentity", "an assistant has no calls that must not be repeated")
	k.foreign("retainCalls", "an assistant has no calls that must not be repeated")
}

func (s *serviceFile) checkPlain(c *collector, k *checker) {
	k.foreign("models", "a plain service has no models")
	k.foreign("firstToken", "a plain service has no tokens")
	k.foreign("betweenTokens", "a plain service has no tokens")
	s.checkRoute(c, k)
	for i, call := range s.OnceCalls {
		s.checkOnceCall(k, at("onceCalls", i), call)
	}
	if len(s.OnceCalls) == 0 {
		return
	}
	if s.RetainCalls == "" && !k.Has("retainCalls") {
		k.AddError("onceCalls", "retainCalls is missing", `write how long a resend may come, such as retainCalls = "24h"`)
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
		k.AddError("route", strconv.Quote(s.Route)+" is no route", `write a path without a slash at the end, such as "/booking"`)
		return
	}
	for _, own := range ownRoutes {
		if under(s.Route, own) || under(own, s.Route) {
			k.AddError("route", strconv.Quote(s.Route)+" belongs to the system", "write a route that does not begin with "+own)
			return
		}
	}
	p := k.Place("route")
	if !c.define(p, "route", s.Route) {
		return
	}
	c.later = append(c.later, func() {
		for i := 1; i < len(s.Route); i++ {
			if _, ok := c.seen["route "+s.Route[:i]]; ok && s.Route[i] == '/' {
				c.add(p, strconv.Quote(s.Route)+" lies within the route "+strconv.Quote(s.Route[:i]), "write a route outside it")
			}
		}
	})
}

func (s *serviceFile) checkOnceCall(k *checker, at, call string) {
	method, route, ok := strings.Cut(call, " ")
	if !ok || !isRoute(route) {
		k.AddError(at, strconv.Quote(call)+" is no call", `write a method and a path, such as "POST `+s.Route+`/places"`)
		return
	}
	if !k.CheckChoice(at, method, methods...) {
		return
	}
	if s.Route != "" && !under(route, s.Route) {
		k.AddError(at, strconv.Quote(call)+" lies outside the service's route", "write a path that begins with "+s.Route)
	}
}

// foreign refuses a name that the kind of service does not have.
func (k *checker) foreign(name, detail string) {
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

func under(route, parent string) bool {
	return route == parent || strings.HasPrefix(route, parent+"/")
}
