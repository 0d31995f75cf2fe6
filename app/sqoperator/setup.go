package sqoperator

import (
	"context"
	"flag"
	"strconv"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
)

var setupCommand = subcommand{
	name:    "setup",
	args:    "-controls ip:port,ip:port,ip:port",
	summary: "set up a new deployment, once",
	help: `Gives the control processes, all new and empty, their common identity and
their membership. A deployment is set up once: a second set-up is refused with
exit code 4. A set-up that was interrupted is resumed by giving the operation
identity that it printed.`,
	addFlags: func(c *invocation, f *flag.FlagSet) {
		f.StringVar(&c.deployment, "deployment", "", "`name` that the processes must have; default: whatever they agree on")
		addOperationFlag(c, f)
	},
	run: runSetup,
}

// replicaState holds the identity and members that one control process reports,
// or the error of the request.
type replicaState struct {
	address  string
	identity *sqrpc.IdentityResponse
	members  []*sqrpc.Member
	err      error
}

func runSetup(ctx context.Context, c *invocation) error {
	if err := c.requireArgs(0); err != nil {
		return err
	}
	client, err := c.newClient()
	if err != nil {
		return err
	}
	replicas := client.queryReplicas(ctx)
	if err := c.checkReplicas(replicas); err != nil {
		return err
	}
	c.printProgress("operation %s (give it again to resume)\n", c.operationID)
	request := c.setupRequest(replicas)
	for _, r := range replicas {
		if r.identity.GetCluster() != "" {
			continue
		}
		if err := client.setupReplica(ctx, r.address, request); err != nil {
			return withRetryAdvice(err, c.operationID)
		}
		c.printProgress("%s at %s is set up\n", r.identity.GetName(), r.address)
	}
	if c.jsonOutput {
		return c.printJSON(struct {
			Cluster  string `json:"cluster"`
			Replicas int    `json:"replicas"`
		}{request.GetCluster(), len(replicas)})
	}
	c.printf("deployment %s has %d control processes\n", request.GetDeployment(), len(replicas))
	return nil
}

func (c *clusterClient) queryReplicas(ctx context.Context) []replicaState {
	replicas := make([]replicaState, len(c.addresses))
	c.forEachAddress(ctx, c.addresses, func(ctx context.Context, i int) {
		r := &replicas[i]
		r.address = c.addresses[i]
		control := c.controlClient(r.address)
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

// setupReplica sends the set-up request to one replica. The response to an
// earlier attempt may have been lost, so a replica that is already set up in the
// requested cluster counts as success.
func (c *clusterClient) setupReplica(ctx context.Context, address string, request *sqrpc.SetupRequest) error {
	requestCtx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	_, err := c.controlClient(address).Setup(requestCtx, request)
	err = sqrpc.FromTwirp(err)
	if sqerror.KindOf(err) != sqerror.AlreadyBootstrapped {
		return err
	}
	identity, identityErr := c.controlClient(address).Identity(requestCtx, &sqrpc.IdentityRequest{})
	if identityErr == nil && identity.GetCluster() == request.GetCluster() {
		return nil
	}
	return err
}

// checkReplicas rejects a set-up that could give one deployment two divergent
// replicated logs.
func (c *invocation) checkReplicas(replicas []replicaState) error {
	addressByName := map[string]string{}
	deployment := c.deployment
	for _, r := range replicas {
		if r.err != nil {
			return sqerror.New(sqerror.Config{
				Kind: sqerror.Unreachable, Detail: "control process at " + r.address, Advice: "start every control process before the set-up", Cause: r.err,
			})
		}
		id := r.identity
		if otherAddress, ok := addressByName[id.GetName()]; ok {
			return conflictError(sqerror.WrongCluster, r.address+" and "+otherAddress+" are both named "+id.GetName(), "give each control process its own name and address")
		}
		addressByName[id.GetName()] = r.address
		if deployment == "" {
			deployment = id.GetDeployment()
		}
		if id.GetDeployment() != deployment {
			return conflictError(sqerror.WrongCluster, r.address+" belongs to deployment "+id.GetDeployment()+", not "+deployment, "give the addresses of one deployment")
		}
		if id.GetCluster() != "" && id.GetCluster() != c.operationID {
			return conflictError(sqerror.AlreadyBootstrapped, id.GetName()+" at "+r.address+" is set up already",
				"a deployment is set up once; use \"replace\" for a control process that lost its disk")
		}
	}
	return checkResumable(replicas)
}

// checkResumable checks that every replica set up by an earlier, interrupted run
// has exactly the given replicas as members. A replica that lost its disk since
// then has a new ID; setting it up again would let it vote although it has lost
// its log and its votes.
func checkResumable(replicas []replicaState) error {
	for _, r := range replicas {
		if r.identity.GetCluster() == "" {
			continue
		}
		memberIDs := map[uint64]bool{}
		for _, m := range r.members {
			memberIDs[m.GetId()] = true
		}
		matches := len(memberIDs) == len(replicas)
		for _, other := range replicas {
			matches = matches && memberIDs[other.identity.GetId()]
		}
		if !matches {
			return conflictError(sqerror.AlreadyBootstrapped, r.identity.GetName()+" was set up with other control processes than these",
				"use \"replace\" for a control process that lost its disk")
		}
	}
	return nil
}

func conflictError(kind sqerror.Kind, detail, advice string) error {
	return sqerror.New(sqerror.Config{Kind: kind, Detail: detail, Advice: advice})
}

func (c *invocation) setupRequest(replicas []replicaState) *sqrpc.SetupRequest {
	request := &sqrpc.SetupRequest{Cluster: c.operationID, Deployment: replicas[0].identity.GetDeployment()}
	for _, r := range replicas {
		id := r.identity
		request.Members = append(request.Members, &sqrpc.Member{Id: id.GetId(), Name: id.GetName(), Address: id.GetAddress(), Zone: id.GetZone()})
	}
	return request
}

var replaceCommand = subcommand{
	name:    "replace",
	args:    "NAME -address ip:port",
	summary: "put a new control process in place of one whose disk was lost",
	help: `The new process must run on an empty data folder under NAME. It joins, catches
up, and only then takes the place of the lost one. If the command is
interrupted, run it again.`,
	addFlags: func(c *invocation, f *flag.FlagSet) {
		f.StringVar(&c.newAddress, "address", "", "`ip:port` of the new process; required")
	},
	run: runReplace,
}

func runReplace(ctx context.Context, c *invocation) error {
	if err := c.requireArgs(1); err != nil {
		return err
	}
	if c.newAddress == "" {
		return c.usageError("-address is missing")
	}
	client, err := c.newClient()
	if err != nil {
		return err
	}
	name := c.args[0]
	identity, err := client.controlClient(c.newAddress).Identity(ctx, &sqrpc.IdentityRequest{})
	if err != nil {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.Unreachable, Detail: "the new control process at " + c.newAddress, Advice: "start it on an empty data folder first", Cause: sqrpc.FromTwirp(err),
		})
	}
	if identity.GetName() != name {
		return conflictError(sqerror.WrongCluster, "the process at "+c.newAddress+" is named "+identity.GetName(), "write name = \""+name+"\" in its settings")
	}
	var response *sqrpc.ReplaceResponse
	err = client.callHolder(ctx, longResponseTimeout, func(ctx context.Context, holder sqrpc.Control) error {
		var err error
		response, err = holder.Replace(ctx, &sqrpc.ReplaceRequest{Name: name, NewId: identity.GetId(), NewAddress: c.newAddress})
		return err
	})
	if err != nil {
		return err
	}
	if c.jsonOutput {
		return c.printJSON(struct {
			Name     string `json:"name"`
			ID       string `json:"id"`
			Promoted bool   `json:"promoted"`
		}{name, strconv.FormatUint(identity.GetId(), 10), response.GetPromoted()})
	}
	if !response.GetPromoted() {
		c.printf("%s has joined and catches up; run the command again to see it promoted\n", name)
		return nil
	}
	c.printf("%s is replaced; the new control process votes\n", name)
	return nil
}
