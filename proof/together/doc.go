// Package together tests that the guarantees of the product hold when failures of
// every kind occur two at a time while operators make changes.
package together
