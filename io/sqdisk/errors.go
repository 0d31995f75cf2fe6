package sqdisk

import "sequoiadock/core/sqerror"

func (d *Disk) damagedError(file string, offset int, detail string) error {
	return sqerror.New(sqerror.Config{
		Kind:     sqerror.DamagedFile,
		Detail:   detail,
		Position: sqerror.Position{File: d.path(file), Offset: int64(offset)},
		Advice:   "keep the folder for inspection, start on an empty one and replace the replica",
	})
}

// markFailed records the first write error and makes all further writes return it:
// after a failed sync, the kernel may report success for pages that never
// reached the disk.
func (d *Disk) markFailed(file string, cause error) error {
	if d.failed == nil {
		d.failed = sqerror.New(sqerror.Config{
			Kind:     sqerror.DiskFailed,
			Detail:   "cannot write or sync",
			Position: sqerror.Position{File: d.path(file)},
			Cause:    cause,
			Advice:   "free or repair the disk, then start the process again",
		})
	}
	return d.failed
}

func (d *Disk) readError(file string, cause error) error {
	return sqerror.New(sqerror.Config{
		Kind: sqerror.DiskFailed, Detail: "cannot read",
		Position: sqerror.Position{File: d.path(file)}, Cause: cause,
	})
}
