#ifndef MONSOON_PORTS_EVENTSINK_H
#define MONSOON_PORTS_EVENTSINK_H

#include <string>
#include <utility>
#include <vector>

namespace monsoon {

/// How important an event is.
enum class Severity { Debug, Info, Warning, Error };

/// Takes what a process decides or comes to believe, for the log. Never blocks.
class EventSink {
public:
  /// Names and values that go with an event.
  using Details = std::vector<std::pair<const char *, std::string>>;

  virtual ~EventSink() = default;
  virtual void event(Severity Level, const char *Name,
                     const Details &Fields) = 0;
};

} // namespace monsoon

#endif
