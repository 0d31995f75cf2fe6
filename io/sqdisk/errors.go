package sqdisk

import "sequoiadock/core/sqerror"

func (d *Disk) damaged(file string, offset int, detail string) error {
	return sqerror.New(sqerror.Config{
		Kind:     sqerror.DamagedFile,
		Detail:   detail,
		Position: sqerror.Position{File: d.place(file), Offset: int64(offset)},
		Advice:   "keep the folder for inspection, start on an empty one and replace the replica",
	})
}

// fail makes the disk refuse all further writes: after a failed sync, the
// kernel may report success for pages that never reached the disk.
func (d *Disk) fail(file string, cause error) error {
	if d.failed == nil {
		d.failed = sqerror.New(sqerror.Config{
			Kind:     sqerror.DiskFailed,
			Detail:   "cannot write or sync",
			Position: sqerror.Position{File: d.place(file)},
			Cause:    cause,
			Advice:   "free or repair the disk, then start the process again",
		})
	}
	return d.failed
}

func (d *Disk) unreadable(file string, cause error) error {
	return sqerror.New(sqerror.Config{
		Kind: sqerror.DiskFailed, Detail: "cannot read",
		Position: sqerror.Position{File: d.place(file)}, Cause: cause,
	})
}
