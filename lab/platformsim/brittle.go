package platformsim

import (
	"strconv"
	"time"
)

// Brittleness makes a replica crash when it rejects too many requests for lack of room.
type Brittleness struct {
	// MaxRejections is how many requests it may reject in one second.
	MaxRejections int
	// Room is how many requests it accepts at a time, running and waiting.
	Room int
}

// rejectionWindow is the time in which rejections are counted.
const rejectionWindow = time.Second

// SetBrittleness makes the replica brittle, which it states in all its answers, until it is nil.
func (r *Replica) SetBrittleness(brittleness *Brittleness) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.brittleness = brittleness
}

// lacksRoom reports whether the replica has no room for another request. It crashes the replica if it
// rejected too many.
func (r *Replica) lacksRoom() bool {
	rejects, crashes := r.rejectForRoom()
	if crashes {
		r.crashUnderRequest()
	}
	return rejects
}

// rejectForRoom records a rejection if the replica has no room for another request, and reports whether
// that was one too many.
func (r *Replica) rejectForRoom() (rejects, crashes bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.brittleness == nil || r.running < r.brittleness.Room {
		return false, false
	}
	now := time.Now()
	recent := []time.Time{now}
	for _, at := range r.rejections {
		if now.Sub(at) < rejectionWindow {
			recent = append(recent, at)
		}
	}
	r.rejections = recent
	return true, len(recent) > r.brittleness.MaxRejections
}

// brittleLine returns the header line by which a brittle replica says so. The caller holds the mutex.
func (r *Replica) brittleLine() string {
	if r.brittleness == nil {
		return ""
	}
	return "Server-Brittle: " + strconv.Itoa(r.brittleness.MaxRejections) + "\r\n"
}
