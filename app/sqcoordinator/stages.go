package sqcoordinator

import (
	"context"
	"time"

	"sequoiadock/core/sqcapacity"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
)

const (
	// stageDrainTime is how long gateways have to stop sending requests to an engine
	// before its stage is changed.
	stageDrainTime = 600 * time.Millisecond
	// stagePollInterval is the period of polling an engine for the end of its stage
	// change, maxStagePolls the number of polls after which it counts as complete.
	stagePollInterval = 200 * time.Millisecond
	maxStagePolls     = 10
)

// changeStage changes the stage of one engine after gateways have stopped sending it
// requests, and lets gateways use the engine again afterwards.
func (c *coordinator) changeStage(ctx context.Context, t *termState, change sqcapacity.StageChange) {
	e := &change.Endpoint
	err := c.sendStageOrder(ctx, t, change)
	if err != nil {
		c.log.Event(sqevent.StageRefused, e.ID(), change.Stage.String(), err.Error())
		c.recordEngineLeaving(t, e, err)
	} else {
		c.log.Event(sqevent.StageOrdered, e.ID(), change.Stage.String(), change.Reason)
		c.awaitStageChange(ctx, t, e)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(t.orders.changingStage, e.ID())
	if err == nil {
		t.orders.stageOverrides[e.ID()] = change.Stage
	}
	t.updateListing()
}

// sendStageOrder waits for stageDrainTime and orders the engine to change its stage.
func (c *coordinator) sendStageOrder(ctx context.Context, t *termState, change sqcapacity.StageChange) error {
	e := &change.Endpoint
	sqclock.Sleep(ctx, stageDrainTime)
	c.mu.Lock()
	limited := t.limits.Limited(e.ID())
	c.mu.Unlock()
	if limited {
		return sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: "the engine limits its requests"})
	}
	accepted, busy, err := c.engines.AcceptedOrders(ctx, e)
	if err != nil {
		return err
	}
	if busy {
		return sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: "the engine carries out another order"})
	}
	return c.engines.SetStage(ctx, c.platformLease(t), e, change.Stage, accepted)
}

// awaitStageChange waits until the engine has carried out its order, at most for its
// switch time and maxStagePolls polls.
func (c *coordinator) awaitStageChange(ctx context.Context, t *termState, e *sqplace.Endpoint) {
	c.mu.Lock()
	switchTime := t.orders.stageSwitchTime(e.Service())
	c.mu.Unlock()
	sqclock.Sleep(ctx, switchTime)
	for range maxStagePolls {
		if !c.mayCallEngine(sqclock.Now(), t, e.ID()) {
			if !sqclock.Sleep(ctx, stagePollInterval) {
				return
			}
			continue
		}
		_, busy, err := c.engines.AcceptedOrders(ctx, e)
		c.recordEngineLeaving(t, e, err)
		done := err == nil && !busy || sqerror.KindOf(err) == sqerror.Leaving
		if done || !sqclock.Sleep(ctx, max(stagePollInterval, sqerror.RetryAfterOf(err))) {
			return
		}
	}
}
