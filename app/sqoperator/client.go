package sqoperator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// Bounds of one exchange.
const (
	connectTimeout = time.Second
	// locateTimeout is how long the search for the holder waits for answers.
	locateTimeout = 2 * time.Second
	// eachTimeout is how long a question to all of them waits for the slowest.
	eachTimeout = 3 * time.Second
	// answerTimeout is how long a control that accepted the connection may be
	// silent: a paused or cut-off one must not use up the whole command.
	answerTimeout = 5 * time.Second
	// slowTimeout is for publish and replace, which wait for others.
	slowTimeout = 25 * time.Second
	retryPause  = 150 * time.Millisecond
)

// client asks the control processes.
type client struct {
	addresses []string
	http      *http.Client
	// known is where the holder was last, or "".
	known string
}

func (c *call) client() (*client, error) {
	var addresses []string
	for a := range strings.SplitSeq(c.controls, ",") {
		a = strings.TrimSpace(a)
		if a == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, sqerror.New(sqerror.Config{
				Kind: sqerror.Usage, Detail: "-controls: " + a + " is no address", Advice: "write ip:port,ip:port", Cause: err,
			})
		}
		addresses = append(addresses, a)
	}
	if len(addresses) == 0 {
		return nil, sqerror.New(sqerror.Config{
			Kind: sqerror.Usage, Detail: "no control process is named", Advice: "give -controls ip:port,ip:port or set " + EnvControls,
		})
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext}
	return &client{addresses: addresses, http: &http.Client{Transport: transport}}, nil
}

func (c *client) control(address string) sqrpc.Control {
	return sqrpc.NewControlProtobufClient("http://"+address, c.http)
}

func (c *client) entry(address string) sqrpc.Entry {
	return sqrpc.NewEntryProtobufClient("http://"+address, c.http)
}

// holder gives ask the lease holder, wherever it is. It asks again while no
// process holds the lease, until ctx ends; ask must be safe to repeat.
func (c *client) holder(ctx context.Context, timeout time.Duration, ask func(context.Context, sqrpc.Control) error) error {
	for {
		err := c.askHolder(ctx, timeout, ask)
		if err == nil || !sqrpc.MayAskAgain(err) {
			return err
		}
		// The error may name the holder; otherwise it is looked for again.
		c.known = sqrpc.Holder(err)
		if !sqclock.Sleep(ctx, retryPause) {
			return gaveUp(err)
		}
	}
}

func (c *client) askHolder(ctx context.Context, timeout time.Duration, ask func(context.Context, sqrpc.Control) error) error {
	if c.known == "" {
		address, err := c.locate(ctx)
		if err != nil {
			return err
		}
		c.known = address
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return sqrpc.FromTwirp(ask(limited, c.control(c.known)))
}

// locate asks every control process at once which one holds the lease. It does
// not wait for those that are silent once the holder has answered: a paused
// process takes connections and never answers.
func (c *client) locate(ctx context.Context) (string, error) {
	limited, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	type answer struct {
		address string
		status  *sqrpc.StatusResponse
		err     error
	}
	answers := make(chan answer, len(c.addresses))
	for _, address := range c.addresses {
		go func() {
			status, err := c.control(address).Status(limited, &sqrpc.StatusRequest{})
			answers <- answer{address, status, sqrpc.FromTwirp(err)}
		}()
	}
	empty := 0
	var last error
	for range c.addresses {
		a := <-answers
		switch {
		case a.err != nil:
			last = a.err
		case a.status.GetHoldsLease():
			return a.address, nil
		case a.status.GetIdentity().GetCluster() == "":
			empty++
		}
	}
	if empty == len(c.addresses) {
		return "", sqerror.New(sqerror.Config{Kind: sqerror.NotBootstrapped, Detail: "no control process is set up"})
	}
	return "", sqerror.New(sqerror.Config{Kind: sqerror.NotHolder, Detail: "no control process holds the lease", Cause: last})
}

func gaveUp(err error) error {
	kind := sqerror.Unreachable
	advice := "see \"sequoiadock status\"; a majority of the control processes must run and reach each other"
	if sqerror.KindOf(err) == sqerror.NotBootstrapped {
		kind = sqerror.NotBootstrapped
		advice = "run \"sequoiadock setup\" once"
	}
	return sqerror.New(sqerror.Config{
		Kind:   kind,
		Detail: "no control process answered as the holder in time",
		Advice: advice,
		Cause:  err,
	})
}

// submit commits one change. A resend with the same operation identity gets
// the first answer, so it is safe after a lost one.
func (c *client) submit(ctx context.Context, cmd *sqcommand.Command) (*sqcommand.Result, error) {
	var result *sqcommand.Result
	err := c.holder(ctx, answerTimeout, func(ctx context.Context, control sqrpc.Control) error {
		answer, err := control.Submit(ctx, &sqrpc.SubmitRequest{Command: cmd})
		result = answer.GetResult()
		return err
	})
	if err != nil {
		return nil, resend(err, cmd.GetOperationId())
	}
	return result, resultError(result)
}

// resend tells the operator how to ask again when the outcome is not known.
func resend(err error, operation string) error {
	if sqerror.KindOf(err) != sqerror.Unreachable {
		return err
	}
	return sqerror.New(sqerror.Config{
		Kind:   sqerror.Unreachable,
		Detail: "the outcome is not known",
		Advice: "run the same command with -operation " + operation,
		Cause:  err,
	})
}

// resultError returns the failure that a committed command answered with.
func resultError(r *sqcommand.Result) error {
	if r.GetError() == 0 {
		return nil
	}
	return sqerror.New(sqerror.Config{Kind: sqerror.Kind(r.GetError()), Detail: r.GetDetail()})
}

// each asks every address at once and returns the answers in their order.
func (c *client) each(ctx context.Context, addresses []string, ask func(ctx context.Context, i int)) {
	limited, cancel := context.WithTimeout(ctx, eachTimeout)
	defer cancel()
	done := make(chan struct{}, len(addresses))
	for i := range addresses {
		go func() {
			ask(limited, i)
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
}

// operationBytes makes two drawn identities practically never equal.
const operationBytes = 16

// newOperation draws an operation identity.
func newOperation() string {
	b := make([]byte, operationBytes)
	// rand.Read never fails; it ends the process where the system has no
	// randomness.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
