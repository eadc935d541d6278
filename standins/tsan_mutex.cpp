// Reports the locking of Abseil's mutexes to ThreadSanitizer, which Debian's build of Abseil does not do.
// Linked only into ThreadSanitizer builds, where the linker's --wrap option redirects calls of the mutex
// functions to the wrappers below. The wrappers do not change how the mutexes behave.
#include <absl/synchronization/mutex.h>
#include <sanitizer/tsan_interface.h>

// Mangled names of Abseil functions with the prefixes that --wrap uses.
// NOLINTBEGIN(readability-identifier-naming,bugprone-reserved-identifier)
extern "C" {
void __real__ZN4absl7debian35Mutex4LockEv(absl::Mutex* mutex);
void __real__ZN4absl7debian35Mutex6UnlockEv(absl::Mutex* mutex);
void __real__ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE(absl::Mutex* mutex,
                                                           const absl::Condition& condition);
bool __real__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE(
    absl::Mutex* mutex, const absl::Condition& condition, absl::Duration limit);
bool __real__ZN4absl7debian35Mutex17AwaitWithDeadlineERKNS0_9ConditionENS0_4TimeE(
    absl::Mutex* mutex, const absl::Condition& condition, absl::Time deadline);

void __wrap__ZN4absl7debian35Mutex4LockEv(absl::Mutex* mutex) {
  __real__ZN4absl7debian35Mutex4LockEv(mutex);
  __tsan_acquire(mutex);
}

void __wrap__ZN4absl7debian35Mutex6UnlockEv(absl::Mutex* mutex) {
  __tsan_release(mutex);
  __real__ZN4absl7debian35Mutex6UnlockEv(mutex);
  // The unlocking thread evaluates the conditions of waiting threads, so it releases once more afterwards.
  __tsan_release(mutex);
}

void __wrap__ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE(absl::Mutex* mutex,
                                                           const absl::Condition& condition) {
  __tsan_release(mutex);
  __real__ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE(mutex, condition);
  __tsan_acquire(mutex);
}

bool __wrap__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE(
    absl::Mutex* mutex, const absl::Condition& condition, absl::Duration limit) {
  __tsan_release(mutex);
  const bool met = __real__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE(
      mutex, condition, limit);
  __tsan_acquire(mutex);
  return met;
}

bool __wrap__ZN4absl7debian35Mutex17AwaitWithDeadlineERKNS0_9ConditionENS0_4TimeE(
    absl::Mutex* mutex, const absl::Condition& condition, absl::Time deadline) {
  __tsan_release(mutex);
  const bool met = __real__ZN4absl7debian35Mutex17AwaitWithDeadlineERKNS0_9ConditionENS0_4TimeE(
      mutex, condition, deadline);
  __tsan_acquire(mutex);
  return met;
}
}
// NOLINTEND(readability-identifier-naming,bugprone-reserved-identifier)
