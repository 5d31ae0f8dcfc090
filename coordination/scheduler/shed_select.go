package scheduler

import (
	"time"

	"github.com/thornwalk/thornwalk/state/queue"
	"github.com/thornwalk/thornwalk/structs"
)

// minQueueWaitFraction is the fraction of a request's time from arrival to
// deadline below which a queue wait is not regarded as the cause of lateness.
const minQueueWaitFraction = 0.15

// selectToShed returns the requests to shed so that as many others as possible
// complete in time (Moore, "An n job, one machine sequencing algorithm", 1968).
// Items are sorted by deadline, ahead is the engine time queued in higher tiers,
// rate the engine time started per second, and completionTime predicts the time
// from start to answer. A request that is late without queueing sheds no others.
func selectToShed(now structs.Instant, items []*queue.Item, ahead time.Duration, rate float64, completionTime func(*structs.Request) time.Duration, maxWaitFraction float64) []*queue.Item {
	var selected []*queue.Item
	kept := make([]*queue.Item, 0, len(items))
	work := ahead
	for _, item := range items {
		kept = append(kept, item)
		work += item.Work
		latestStart := item.Request.Arrived + time.Duration(maxWaitFraction*float64(item.Request.Deadline-item.Request.Arrived)) - completionTime(item.Request)
		start := now + time.Duration(float64(work-item.Work)/rate)
		if start <= latestStart || start-now < time.Duration(minQueueWaitFraction*float64(item.Request.Deadline-item.Request.Arrived)) {
			continue
		}
		largest := 0
		for i := range kept {
			if kept[i].Work > kept[largest].Work {
				largest = i
			}
		}
		work -= kept[largest].Work
		selected = append(selected, kept[largest])
		kept = append(kept[:largest], kept[largest+1:]...)
	}
	return selected
}
