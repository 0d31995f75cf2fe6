package sqoperator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqkey"
	"sequoiadock/core/sqplacement"
	"sequoiadock/io/sqhttp"
)

// maxPlacementBytes limits the answer of a gateway, which names all endpoints of a service.
const maxPlacementBytes = 16 << 20

// placeFlags holds the flags of the command place.
type placeFlags struct {
	request  sqplacement.Request
	readKey  bool
	parts    string
	deadline time.Duration
}

var placeCommand = subcommand{
	name:    "place",
	args:    "GATEWAY -host HOST -path PATH",
	summary: "explain where a gateway would send a request now",
	help: `Asks the gateway with the internal address GATEWAY (ip:port) where a request
would go now, and by which figures. The request is not sent, and nothing is
counted, charged or reserved. The API key is read from standard input, since
other users could read the command line.`,
	direct: true,
	addFlags: func(c *invocation, f *flag.FlagSet) {
		p := &c.place
		f.StringVar(&p.request.Host, "host", "", "`name` of the host in the request")
		f.StringVar(&p.request.Path, "path", "", "`path` of the request")
		f.BoolVar(&p.readKey, "key", false, "read the API key from standard input")
		f.StringVar(&p.request.Service, "service", "", "`service` to place the request at; default: the first of the route")
		f.StringVar(&p.request.Model, "model", "", "`model` of the prompt")
		f.StringVar(&p.parts, "parts", "", "`parts` of the prompt as id:tokens,id:tokens; the last one is the request's own")
		f.IntVar(&p.request.Tokens, "tokens", 0, "`number` of prompt tokens; default: the sum of the parts")
		f.IntVar(&p.request.OutputTokens, "output", 0, "maximum `number` of output tokens")
		f.DurationVar(&p.deadline, "deadline", 0, "`time` for which the caller waits; default: that of the route")
		f.IntVar(&p.request.BodyBytes, "body", 0, "`bytes` of the body")
	},
	run: runPlace,
}

func runPlace(ctx context.Context, c *invocation) error {
	if err := c.requireArgs(1); err != nil {
		return err
	}
	address := c.args[0]
	if _, err := netip.ParseAddrPort(address); err != nil {
		return c.usageError("GATEWAY is not an ip:port address")
	}
	req, err := c.placementRequest()
	if err != nil {
		return err
	}
	data, err := askPlacement(ctx, address, req)
	if err != nil {
		return err
	}
	var report sqplacement.Report
	if err := json.Unmarshal(data, &report); err != nil {
		return badPlacement(address, err)
	}
	if c.jsonOutput {
		return c.printJSON(&report)
	}
	report.WriteText(c.stdout)
	return nil
}

// placementRequest returns the request that the flags describe.
func (c *invocation) placementRequest() (*sqplacement.Request, error) {
	p := &c.place
	req := &p.request
	if req.Host == "" || req.Path == "" {
		return nil, c.usageError("-host or -path is missing")
	}
	req.DeadlineMillis = int(p.deadline.Milliseconds())
	if p.parts != "" {
		for part := range strings.SplitSeq(p.parts, ",") {
			id, tokens, _ := strings.Cut(part, ":")
			n, err := strconv.Atoi(tokens)
			if err != nil {
				return nil, c.usageError("-parts: " + part + " is not id:tokens")
			}
			req.Parts = append(req.Parts, sqplacement.Part{ID: id, Tokens: n})
		}
	}
	if !p.readKey {
		return req, nil
	}
	line, err := bufio.NewReader(io.LimitReader(c.stdin, sqkey.MaxLength+2)).ReadString('\n')
	req.Key = strings.TrimRight(line, "\r\n")
	if err != nil && err != io.EOF || req.Key == "" {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.Usage, Detail: "the key cannot be read from standard input", Cause: err})
	}
	return req, nil
}

// askPlacement returns the answer of the gateway. A refusal is returned as an error of the kind
// that the gateway names.
func askPlacement(ctx context.Context, address string, in *sqplacement.Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.Usage, Detail: "the request cannot be described", Cause: err})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+sqplacement.Path, bytes.NewReader(body))
	if err != nil {
		return nil, unreachableGateway(address, err)
	}
	req.Header.Set("Content-Type", "application/json")
	// The key is sent to the named address only, not where a redirect leads.
	client := sqhttp.NewClient(sqhttp.ClientConfig{CloseAfterUse: true})
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	res, err := client.Do(req)
	if err != nil {
		return nil, unreachableGateway(address, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxPlacementBytes))
	if err != nil {
		return nil, unreachableGateway(address, err)
	}
	if res.StatusCode == http.StatusOK {
		return data, nil
	}
	var f sqplacement.Failure
	if err := json.Unmarshal(data, &f); err != nil || f.Kind == 0 {
		return nil, badPlacement(address, err)
	}
	return nil, sqerror.New(sqerror.Config{
		Kind: sqerror.Kind(f.Kind), Detail: f.Detail, Advice: placementAdvice(&f),
		RetryAfter: time.Duration(f.RetryAfterMillis * float64(time.Millisecond)),
	})
}

func placementAdvice(f *sqplacement.Failure) string {
	switch sqerror.Kind(f.Kind) {
	case sqerror.StaleEntry:
		return "the gateway refuses all requests, with Retry-After " + strconv.FormatFloat(f.RetryAfterMillis, 'f', -1, 64) + " ms; ask another one"
	case sqerror.UnknownRoute:
		return "check -host and -path against the routing table in force"
	case sqerror.NoKey:
		return "give -key and the key on standard input"
	default:
		return ""
	}
}

func unreachableGateway(address string, err error) error {
	return sqerror.New(sqerror.Config{
		Kind: sqerror.Unreachable, Detail: "the gateway at " + address + " does not answer", Advice: "give its internal address", Cause: err,
	})
}

func badPlacement(address string, err error) error {
	return sqerror.New(sqerror.Config{
		Kind: sqerror.BadResponse, Detail: "the answer of " + address + " is none of a gateway that explains placements", Cause: err,
	})
}
