package sqoperator

import (
	"context"
	"flag"
	"strconv"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
)

var setupCommand = command{
	name:    "setup",
	args:    "-controls ip:port,ip:port,ip:port",
	summary: "set up a new deployment, once",
	help: `Gives the control processes, all new and empty, their common identity and
their membership. A deployment is set up once: a second set-up is refused with
exit code 4. A set-up that was interrupted is resumed by giving the operation
identity that it printed.`,
	flags: func(c *call, f *flag.FlagSet) {
		f.StringVar(&c.deployment, "deployment", "", "`name` that the processes must have; default: whatever they agree on")
		operationFlag(c, f)
	},
	run: runSetup,
}

// replica is what one control process says of itself.
type replica struct {
	address  string
	identity *sqrpc.IdentityResponse
	members  []*sqrpc.Member
	err      error
}

func runSetup(ctx context.Context, c *call) error {
	if err := c.only(0); err != nil {
		return err
	}
	control, err := c.client()
	if err != nil {
		return err
	}
	replicas := control.replicas(ctx)
	if err := c.checkReplicas(replicas); err != nil {
		return err
	}
	c.progress("operation %s (give it again to resume)\n", c.operation)
	request := c.setupRequest(replicas)
	for _, r := range replicas {
		if r.identity.GetCluster() != "" {
			continue
		}
		if err := control.setup(ctx, r.address, request); err != nil {
			return resend(err, c.operation)
		}
		c.progress("%s at %s is set up\n", r.identity.GetName(), r.address)
	}
	if c.json {
		return c.printJSON(struct {
			Cluster  string `json:"cluster"`
			Replicas int    `json:"replicas"`
		}{request.GetCluster(), len(replicas)})
	}
	c.printf("deployment %s has %d control processes\n", request.GetDeployment(), len(replicas))
	return nil
}

func (c *client) replicas(ctx context.Context) []replica {
	replicas := make([]replica, len(c.addresses))
	c.each(ctx, c.addresses, func(ctx context.Context, i int) {
		r := &replicas[i]
		r.address = c.addresses[i]
		control := c.control(r.address)
		identity, err := control.Identity(ctx, &sqrpc.IdentityRequest{})
		if err != nil {
			r.err = sqrpc.FromTwirp(err)
			return
		}
		r.identity = identity
		if identity.GetCluster() == "" {
			return
		}
		status, err := control.Status(ctx, &sqrpc.StatusRequest{})
		r.members, r.err = status.GetMembers(), sqrpc.FromTwirp(err)
	})
	return replicas
}

// setup sends the set-up to one replica. The answer may be lost, so a replica
// that says it is set up already is asked for its identity.
func (c *client) setup(ctx context.Context, address string, request *sqrpc.SetupRequest) error {
	limited, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	_, err := c.control(address).Setup(limited, request)
	err = sqrpc.FromTwirp(err)
	if sqerror.KindOf(err) != sqerror.AlreadyBootstrapped {
		return err
	}
	identity, askErr := c.control(address).Identity(limited, &sqrpc.IdentityRequest{})
	if askErr == nil && identity.GetCluster() == request.GetCluster() {
		return nil
	}
	return err
}

// checkReplicas refuses a set-up that could give one deployment two histories.
func (c *call) checkReplicas(replicas []replica) error {
	names := map[string]string{}
	deployment := c.deployment
	for _, r := range replicas {
		if r.err != nil {
			return sqerror.New(sqerror.Config{
				Kind: sqerror.Unreachable, Detail: "control process at " + r.address, Advice: "start every control process before the set-up", Cause: r.err,
			})
		}
		id := r.identity
		if other, ok := names[id.GetName()]; ok {
			return conflict(sqerror.WrongCluster, r.address+" and "+other+" are both named "+id.GetName(), "give each control process its own name and address")
		}
		names[id.GetName()] = r.address
		if deployment == "" {
			deployment = id.GetDeployment()
		}
		if id.GetDeployment() != deployment {
			return conflict(sqerror.WrongCluster, r.address+" belongs to deployment "+id.GetDeployment()+", not "+deployment, "give the addresses of one deployment")
		}
		if id.GetCluster() != "" && id.GetCluster() != c.operation {
			return conflict(sqerror.AlreadyBootstrapped, id.GetName()+" at "+r.address+" is set up already",
				"a deployment is set up once; use \"replace\" for a control process that lost its disk")
		}
	}
	return checkResumed(replicas)
}

// checkResumed wants every replica that an earlier, interrupted run reached to
// know exactly these replicas. One that lost its disk since then has a new
// identity, and to set it up again would let it vote as if it had forgotten
// nothing.
func checkResumed(replicas []replica) error {
	for _, r := range replicas {
		if r.identity.GetCluster() == "" {
			continue
		}
		known := map[uint64]bool{}
		for _, m := range r.members {
			known[m.GetId()] = true
		}
		same := len(known) == len(replicas)
		for _, other := range replicas {
			same = same && known[other.identity.GetId()]
		}
		if !same {
			return conflict(sqerror.AlreadyBootstrapped, r.identity.GetName()+" was set up with other control processes than these",
				"use \"replace\" for a control process that lost its disk")
		}
	}
	return nil
}

func conflict(kind sqerror.Kind, detail, advice string) error {
	return sqerror.New(sqerror.Config{Kind: kind, Detail: detail, Advice: advice})
}

func (c *call) setupRequest(replicas []replica) *sqrpc.SetupRequest {
	request := &sqrpc.SetupRequest{Cluster: c.operation, Deployment: replicas[0].identity.GetDeployment()}
	for _, r := range replicas {
		id := r.identity
		request.Members = append(request.Members, &sqrpc.Member{Id: id.GetId(), Name: id.GetName(), Address: id.GetAddress(), Zone: id.GetZone()})
	}
	return request
}

var replaceCommand = command{
	name:    "replace",
	args:    "NAME -address ip:port",
	summary: "put a new control process in place of one whose disk was lost",
	help: `The new process must run on an empty data folder under NAME. It joins, catches
up, and only then takes the place of the lost one. If the command is
interrupted, run it again.`,
	flags: func(c *call, f *flag.FlagSet) {
		f.StringVar(&c.address, "address", "", "`ip:port` of the new process; needed")
	},
	run: runReplace,
}

func runReplace(ctx context.Context, c *call) error {
	if err := c.only(1); err != nil {
		return err
	}
	if c.address == "" {
		return c.usage("-address is missing")
	}
	control, err := c.client()
	if err != nil {
		return err
	}
	name := c.args[0]
	identity, err := control.control(c.address).Identity(ctx, &sqrpc.IdentityRequest{})
	if err != nil {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.Unreachable, Detail: "the new control process at " + c.address, Advice: "start it on an empty data folder first", Cause: sqrpc.FromTwirp(err),
		})
	}
	if identity.GetName() != name {
		return conflict(sqerror.WrongCluster, "the process at "+c.address+" is named "+identity.GetName(), "write name = \""+name+"\" in its settings")
	}
	var answer *sqrpc.ReplaceResponse
	err = control.holder(ctx, slowTimeout, func(ctx context.Context, holder sqrpc.Control) error {
		var err error
		answer, err = holder.Replace(ctx, &sqrpc.ReplaceRequest{Name: name, NewId: identity.GetId(), NewAddress: c.address})
		return err
	})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(struct {
			Name     string `json:"name"`
			ID       string `json:"id"`
			Promoted bool   `json:"promoted"`
		}{name, strconv.FormatUint(identity.GetId(), 10), answer.GetPromoted()})
	}
	if !answer.GetPromoted() {
		c.printf("%s has joined and catches up; run the command again to see it promoted\n", name)
		return nil
	}
	c.printf("%s is replaced; the new control process votes\n", name)
	return nil
}
