#include "lovage/traffic/subscription.h"

#include <utility>

namespace lovage {

subscription::subscription(std::shared_ptr<answer_session> session, answer_cursor cursor, wall_time deadline)
    : m_session(std::move(session)), m_cursor(cursor) {
    m_session->add_caller(deadline);
}

subscription::~subscription() {
    if (m_session) {
        m_session->remove_caller();
    }
}

answer_read_result subscription::read(milliseconds wait) {
    return m_session->read(m_cursor, wait);
}

} // namespace lovage
