// Package authority tests replicated state and leadership with real processes:
// committed changes, the single lease holder, orders, billing windows and
// configuration, while processes are killed, paused, partitioned from the
// network or lose their disks.
package authority
